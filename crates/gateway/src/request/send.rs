//! One attempt: sends a request to one instance and reads the headers of the response.

use std::time::Duration;

use http::header::CONTENT_TYPE;
use pumicecleat_catalog::Upstream;
use pumicecleat_net::{Response, Sent};
use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;

use super::job::Job;
use crate::{AttemptAttributes, Execution, ResponseAttributes, RetryAfter, Unattributed};

/// Minimum time left, in milliseconds, for which an attempt is worthwhile.
pub(super) const MIN_TIME_LEFT_MS: u64 = 20;

/// Time after the deadline for which a response that was begun is still forwarded. Upstreams end their work at the
/// deadline, and the last part of a response is on its way then.
const FORWARD_GRACE: Duration = Duration::from_millis(100);

/// Media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Status of an upstream that rejects a request.
const OVERLOADED: u16 = 503;

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// Response to forward; its body has not been read.
    Response(Box<Response>),
    /// The upstream reported that it did not execute the request.
    NotRun(ResponseAttributes),
    /// No byte was sent.
    NotSent(String),
    /// No response; the request may have been executed.
    Lost(String),
    /// No response before the timeout; the request may have been executed.
    TimedOut,
}

impl Job {
    /// Sends the request to `upstream` and returns the outcome once the headers of the response have arrived,
    /// or after `timeout`.
    pub(super) async fn send(
        &self,
        upstream: &Upstream,
        adapter_version: Option<u64>,
        timeout: Duration,
    ) -> AttemptOutcome {
        self.trace.start_attempt(upstream);
        self.log_resumption(upstream);
        self.use_permit();
        let attributes = AttemptAttributes {
            instance: &upstream.instance,
            deadline_ms: self.time_left().0,
            adapter_version,
            priority: self.priority(),
            caller: self.caller.name(),
            last_event_id: self.last_event_id,
        };
        let request = self.build_request(&attributes);
        let peer = upstream.address.to_string();
        let sent_at = self.shared.timer.now();
        let mut response = match self
            .shared
            .upstream_client
            .send(&peer, request, timeout)
            .await
        {
            Ok(response) => response,
            Err(e) if e.sent() == Sent::No => return AttemptOutcome::NotSent(e.to_string()),
            Err(pumicecleat_net::NetError::AnswerTimeout { .. }) => {
                return AttemptOutcome::TimedOut;
            }
            Err(e) => {
                self.trace.record_lost_connection();
                return AttemptOutcome::Lost(e.to_string());
            }
        };
        self.trace.set_framing(response.framing());
        response.limit_time(self.time_left_duration() + FORWARD_GRACE);
        if self.is_event_stream(&response) {
            response.expect_events();
        }
        self.classify(upstream, response, sent_at)
    }

    /// Logs an attempt that goes on with a stream.
    fn log_resumption(&self, upstream: &Upstream) {
        let resumption = self.attributes.resumption.as_ref();
        let by = match (self.last_event_id, resumption) {
            (Some(_), _) => "gateway",
            (None, Some(_)) => "caller",
            (None, None) => return,
        };
        let named = resumption.and_then(|r| r.origin.as_deref());
        let after = self
            .last_event_id
            .or_else(|| resumption.and_then(|r| r.last_event_id));
        let fields = [
            field("request", self.id()),
            field("origin", named.unwrap_or_default()),
            field("by", by),
            field("after", after.unwrap_or_default()),
            field("instance", upstream.instance.as_str()),
            field("software", upstream.software.as_str()),
        ];
        self.shared.log.emit(&events::STREAM_RESUMED, &fields);
    }

    /// Whether the body is a stream of events. Without a media type the route tells.
    fn is_event_stream(&self, response: &Response) -> bool {
        let media_type = response.headers().get(CONTENT_TYPE);
        let is_stream = media_type.map_or(self.route.stream, |value| {
            let text = value.as_bytes();
            let length = text.len().min(EVENT_STREAM.len());
            text[..length].eq_ignore_ascii_case(EVENT_STREAM)
        });
        response.status() == 200 && is_stream
    }

    /// An upstream that rejects a request may tell when it accepts requests again.
    fn note_retry_after(&self, upstream: &Upstream, response_attributes: &ResponseAttributes) {
        match response_attributes.retry_after {
            Some(RetryAfter::DelayMs(delay_ms)) => {
                self.shared.note_backoff(upstream, Millis(delay_ms));
            }
            Some(RetryAfter::Unreadable) => {
                let fields = [field("instance", upstream.instance.as_str())];
                self.shared.log.emit(&events::RETRY_UNREADABLE, &fields);
            }
            None => {}
        }
    }

    /// Logs and counts a response that is not the upstream's response to the request.
    fn note_unattributed(&self, upstream: &Upstream, status: u16, cause: Unattributed) {
        self.shared.meters.count_unattributed(&self.service, cause);
        let fields = [
            field("request", self.id()),
            field("instance", upstream.instance.as_str()),
            field("status", status),
            field("cause", cause.as_str()),
        ];
        self.shared
            .log
            .emit(&events::RESPONSE_UNATTRIBUTED, &fields);
    }

    fn classify(&self, upstream: &Upstream, response: Response, sent_at: Millis) -> AttemptOutcome {
        let status = response.status();
        let request_id = self.attributes.request_id.as_deref();
        let codec = &self.shared.header_codec;
        let decoded = codec.decode_response(request_id, status, response.headers());
        let response_attributes = match decoded {
            Ok(response_attributes) => response_attributes,
            Err(cause) => {
                self.note_unattributed(upstream, status, cause);
                // Dropping the response also closes its connection, whose responses may not match the requests.
                return AttemptOutcome::Lost(cause.to_string());
            }
        };
        if response_attributes.is_leaving {
            self.shared.note_leaving(upstream);
        }
        if status == OVERLOADED {
            self.note_retry_after(upstream, &response_attributes);
        }
        if response_attributes.is_other_instance {
            self.shared.note_replaced(&upstream.instance);
            return AttemptOutcome::NotRun(response_attributes);
        }
        self.shared
            .note_limit(upstream, response_attributes.rate_limit, sent_at);
        if let Some(load) = response_attributes.load {
            let now = self.shared.timer.now();
            self.shared.table.set_load(&upstream.instance, load, now);
        }
        match response_attributes.execution {
            Execution::Possible => AttemptOutcome::Response(Box::new(response)),
            Execution::NotRun => AttemptOutcome::NotRun(response_attributes),
            Execution::Unstated => {
                let error =
                    format!("status {status} without a statement that nothing was executed");
                AttemptOutcome::Lost(error)
            }
        }
    }
}
