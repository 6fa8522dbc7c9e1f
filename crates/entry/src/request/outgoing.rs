//! Message that sends an attempt to a side.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method};
use pumicecleat_types::{Millis, RunHead, RunRequest, encode};

use super::Job;
use crate::directory::Destination;

/// Path at the side that runs a request.
const RUN_PATH: &str = "/peer/v1/run";

/// An attempt to send.
pub(crate) struct OutgoingAttempt<'a> {
    pub(crate) job: &'a Job,
    pub(crate) destination: Destination,
    pub(crate) attempt_number: u32,
    pub(crate) time_left: Millis,
    pub(crate) body: Vec<u8>,
}

impl OutgoingAttempt<'_> {
    /// Builds the request to the side.
    pub(super) fn into_request(self) -> http::Request<Bytes> {
        let job = self.job;
        let message = RunRequest {
            head: RunHead {
                request: job.request_id.clone(),
                attempt: self.attempt_number,
                pool: job.resolved.pool.clone(),
                revision: job.resolved.revision,
                caller: job.caller.clone(),
                target: job.resolved.target.clone(),
                time_left_ms: self.time_left.0,
                priority: job.priority,
                stream: job.stream,
                max_tokens: job.max_tokens,
                idempotency_key: job.idempotency_key.clone(),
            },
            body: self.body,
        };
        let mut request = http::Request::new(Bytes::from(encode(&message)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(RUN_PATH);
        let content_type = HeaderValue::from_static("application/msgpack");
        request.headers_mut().insert(CONTENT_TYPE, content_type);
        request
    }
}
