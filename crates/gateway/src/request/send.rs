//! One attempt: a request at one instance, up to the head of its answer.

use std::time::Duration;

use pumicecleat_catalog::Upstream;
use pumicecleat_net::{Response, Sent};
use pumicecleat_ops::{events, field};
use pumicecleat_types::Millis;

use super::job::Job;
use crate::{AttemptAttributes, ResponseAttributes, RetryAfter};

/// Least time that is worth a send.
pub(super) const LEAST_LEFT: u64 = 20;

/// Status of an upstream that turns a request away.
const OVERLOADED: u16 = 503;

/// How one attempt ended.
pub(super) enum Attempt {
    /// An answer to pass on, its body still to come.
    Answer(Response),
    /// Did not run there, by the upstream's own word.
    NotRun(ResponseAttributes),
    /// Not a byte left.
    NotSent(String),
    /// No answer; it may have run.
    Lost(String),
    /// No answer in the time given; it may have run.
    Late,
}

impl Job {
    /// Sends the request to `upstream` and gives the head of the answer, if it comes in `span`.
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

    /// An upstream that turns a request away may tell when it wants requests again.
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
            // A connection that carries another request's answer is dropped with it.
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
