//! An attempt as it is sent.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method};
use pumicecleat_types::{Millis, RunHead, RunRequest, encode};

use super::Job;
use crate::directory::Destination;

/// Path of the exchange.
const PATH: &str = "/peer/v1/run";

/// An attempt to send.
pub(crate) struct Outgoing<'a> {
    pub(crate) job: &'a Job,
    pub(crate) destination: Destination,
    pub(crate) number: u32,
    pub(crate) left: Millis,
    pub(crate) body: Vec<u8>,
}

impl Outgoing<'_> {
    /// Request for the side.
    pub(super) fn into_request(self) -> http::Request<Bytes> {
        let job = self.job;
        let message = RunRequest {
            head: RunHead {
                request: job.request.clone(),
                attempt: self.number,
                pool: job.resolved.pool.clone(),
                revision: job.resolved.revision,
                caller: job.caller.clone(),
                target: job.resolved.target.clone(),
                left_ms: self.left.0,
                priority: job.priority,
                stream: job.stream,
                tokens: job.tokens,
                key: job.key.clone(),
            },
            body: self.body,
        };
        let mut request = http::Request::new(Bytes::from(encode(&message)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(PATH);
        let kind = HeaderValue::from_static("application/msgpack");
        request.headers_mut().insert(CONTENT_TYPE, kind);
        request
    }
}
