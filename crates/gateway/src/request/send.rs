//! One attempt: sends a request to one instance and reads the headers of the response.

use std::time::Duration;

use pumicecleat_catalog::Upstream;
use pumicecleat_net::{Response, Sent};
use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;

use super::job::Job;
use crate::{AttemptAttributes, ResponseAttributes, RetryAfter};

/// Minimum time left, in milliseconds, for which an attempt is worthwhile.
pub(super) const LEAST_LEFT: u64 = 20;

/// Status of an upstream that rejects a request.
const OVERLOADED: u16 = 503;

/// Outcome of one attempt.
pub(super) enum Attempt {
    /// Response to forward; its body has not been read.
    Answer(Response),
    /// The upstream reported that it did not execute the request.
    NotRun(ResponseAttributes),
    /// No byte was sent.
    NotSent(String),
    /// No response; the request may have been executed.
    Lost(String),
    /// No response before the timeout; the request may have been executed.
    Late,
}

impl Job {
    /// Sends the request to `upstream` and returns the outcome once the headers of the response have arrived,
    /// or after `timeout`.
    pub(super) async fn send(
        &self,
        upstream: &Upstream,
        adapter_version: Option<u64>,
        span: Duration,
    ) -> Attempt {
        self.trail.attempt(upstream);
        self.use_permit();
        let priority = adapter_version.map(|_| self.route.priority);
        let outgoing = AttemptAttributes {
            instance: &upstream.instance,
            deadline_ms: self.left().0,
            adapter_version,
            priority: priority.or(Some(self.route.priority)),
            last_event_id: self.after,
        };
        let request = self.request(&outgoing);
        let peer = upstream.address.to_string();
        let sent_at = self.shared.timer.now();
        let response = match self.shared.client.send(&peer, request, span).await {
            Ok(response) => response,
            Err(e) if e.sent() == Sent::No => return Attempt::NotSent(e.to_string()),
            Err(pumicecleat_net::NetError::AnswerTimeout { .. }) => return Attempt::Late,
            Err(e) => {
                self.trail.broke();
                return Attempt::Lost(e.to_string());
            }
        };
        self.judge(upstream, response, sent_at)
    }

    /// An upstream that rejects a request may tell when it accepts requests again.
    fn note_rest(&self, upstream: &Upstream, heard: &ResponseAttributes) {
        match heard.retry_after {
            Some(RetryAfter::DelayMs(told)) => self.shared.said_rests(upstream, Millis(told)),
            Some(RetryAfter::Unreadable) => {
                let fields = [field("instance", upstream.instance.as_str())];
                self.shared.log.emit(&events::RETRY_UNREADABLE, &fields);
            }
            None => {}
        }
    }

    fn judge(&self, upstream: &Upstream, response: Response, sent_at: Millis) -> Attempt {
        let heard = self
            .shared
            .header_codec
            .decode_response(response.status(), response.headers());
        if heard.is_leaving {
            self.shared.said_leaving(upstream);
        }
        if response.status() == OVERLOADED {
            self.note_rest(upstream, &heard);
        }
        if heard.request_id.is_some() && heard.request_id.as_deref() != Some(self.id()) {
            // Dropping the response also closes its connection, which carries the response to another
            // request.
            return Attempt::Lost("answer to another request".to_owned());
        }
        if heard.is_other_instance {
            self.shared.seen_replaced(&upstream.instance);
            return Attempt::NotRun(heard);
        }
        self.shared.note_limit(upstream, heard.rate_limit, sent_at);
        if let Some(load) = heard.load {
            let now = self.shared.timer.now();
            self.shared.table.told(&upstream.instance, load, now);
        }
        if heard.not_run {
            return Attempt::NotRun(heard);
        }
        Attempt::Answer(response)
    }
}
