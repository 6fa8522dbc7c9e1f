//! Answers that are not streamed, and answers with an error status.

use pumicecleat_net::Stall;
use pumicecleat_types::{Frame, Ran, Reason};
use pumicecleat_upstream::{
    ChatResponse, ExpectedResponse, StreamCheck, check_completion, read_body,
};

use super::relay::{MAX_EVENT_BYTES, Relay};
use super::{ModelRun, Step};
use crate::dispatch::Ticket;
use crate::run::{DEFAULT_RETRY_MS, MAX_ANSWER_BYTES, body_frames, refusal};

impl ModelRun {
    /// First frame of an answer whose head was received.
    pub(super) async fn begin_answer(
        &mut self,
        ticket: Ticket,
        answer: Box<dyn ChatResponse>,
    ) -> Frame {
        match answer.status() {
            200 if self.request.head.stream => {
                let check = StreamCheck::new(self.expect(answer.peer()), MAX_EVENT_BYTES);
                self.step = Step::Relay(Box::new(Relay {
                    ticket,
                    answer,
                    check,
                    stall: Stall::new(&self.state.timer, self.state.settings.stall.0),
                    events: 0,
                }));
                self.head_frame(200, "text/event-stream")
            }
            200 => self.read_whole(ticket, answer).await,
            status => self.read_error(ticket, answer, status).await,
        }
    }

    async fn read_whole(&mut self, mut ticket: Ticket, mut answer: Box<dyn ChatResponse>) -> Frame {
        let peer = answer.peer().to_owned();
        let reading = read_body(answer.as_mut(), MAX_ANSWER_BYTES);
        let body = match self.state.timer.within(self.time_left(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return self.broken_frame(Ran::Unknown, "read answer", &e.to_string()),
            Err(_) => return self.broken_frame(Ran::Unknown, "read answer", "deadline passed"),
        };
        ticket.finish(true);
        match check_completion(self.expect(&peer), &body) {
            Ok(whole) => self.record_length(whole.usage.map(|u| u.completion)),
            Err(e) => return self.invalid_answer(&e),
        }
        self.state.metrics.completed.inc();
        self.step = Step::Remaining(body_frames(&self.state, &body).into());
        self.head_frame(200, "application/json")
    }

    /// What the answer must name. Engines end its id with the id of the request.
    fn expect<'a>(&'a self, peer: &'a str) -> ExpectedResponse<'a> {
        ExpectedResponse {
            peer,
            model: &self.engine_name,
            request: Some(self.request.head.request.as_str()),
        }
    }

    fn record_length(&self, tokens: Option<u64>) {
        if let Some(tokens) = tokens {
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            self.state.answer_lengths.record(tokens);
        }
    }

    /// Reads an answer with an error status. The engine ran nothing, except possibly if the status
    /// is 500 or above.
    async fn read_error(
        &mut self,
        mut ticket: Ticket,
        mut answer: Box<dyn ChatResponse>,
        status: u16,
    ) -> Frame {
        let body = read_body(answer.as_mut(), MAX_ANSWER_BYTES)
            .await
            .unwrap_or_default();
        ticket.finish(false);
        let text = String::from_utf8_lossy(&body).into_owned();
        match status {
            // The engine lacks an adapter that this side believes resident; the watch notices that.
            404 => self.refuse(Reason::UpstreamDown, &text),
            429 | 503 => self.refuse(Reason::Overloaded, &text),
            400..=499 => {
                self.step = Step::Remaining(body_frames(&self.state, &body).into());
                self.head_frame(status, "application/json")
            }
            _ => self.broken_frame(
                Ran::Unknown,
                "call engine",
                &format!("status {status}: {text}"),
            ),
        }
    }

    fn refuse(&self, reason: Reason, detail: &str) -> Frame {
        let refusal = refusal(reason, DEFAULT_RETRY_MS, detail);
        self.state.refusal_frame(&self.request.head, refusal)
    }
}
