//! Answers that are not streamed, and answers that are errors by their status.

use pumicecleat_net::Stall;
use pumicecleat_types::{Frame, Ran, Reason};
use pumicecleat_upstream::{Answer, Expect, StreamCheck, check_whole, read_answer};

use super::relay::{EVENT_LIMIT, Relay};
use super::{ModelRun, Step};
use crate::dispatch::Ticket;
use crate::run::{ANSWER_LIMIT, RETRY_MS, refusal, whole_frames};

impl ModelRun {
    pub(super) async fn open(&mut self, ticket: Ticket, answer: Box<dyn Answer>) -> Frame {
        match answer.status() {
            200 if self.request.head.stream => {
                let check = StreamCheck::new(self.expect(answer.peer()), EVENT_LIMIT);
                self.step = Step::Relay(Box::new(Relay {
                    ticket,
                    answer,
                    check,
                    stall: Stall::new(&self.state.timer, self.state.settings.stall.0),
                    events: 0,
                }));
                self.head(200, "text/event-stream")
            }
            200 => self.read_whole(ticket, answer).await,
            status => self.read_error(ticket, answer, status).await,
        }
    }

    async fn read_whole(&mut self, mut ticket: Ticket, mut answer: Box<dyn Answer>) -> Frame {
        let peer = answer.peer().to_owned();
        let reading = read_answer(answer.as_mut(), ANSWER_LIMIT);
        let body = match self.state.timer.within(self.left(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return self.broken(Ran::Unknown, "read answer", &e.to_string()),
            Err(_) => return self.broken(Ran::Unknown, "read answer", "deadline passed"),
        };
        ticket.finish(true);
        match check_whole(self.expect(&peer), &body) {
            Ok(whole) => self.note_length(whole.usage.map(|u| u.completion)),
            Err(e) => return self.wrong_answer(&e),
        }
        self.state.metrics.completed.inc();
        self.step = Step::Rest(whole_frames(&self.state, &body).into());
        self.head(200, "application/json")
    }

    /// What an answer must name: engines end its id in the request's.
    fn expect<'a>(&'a self, peer: &'a str) -> Expect<'a> {
        Expect {
            peer,
            model: &self.name,
            request: Some(self.request.head.request.as_str()),
        }
    }

    fn note_length(&self, tokens: Option<u64>) {
        if let Some(tokens) = tokens {
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            self.state.answer_lengths.record(tokens);
        }
    }

    /// An answer that is an error by its status: the engine ran nothing, but for those of 500 on.
    async fn read_error(
        &mut self,
        mut ticket: Ticket,
        mut answer: Box<dyn Answer>,
        status: u16,
    ) -> Frame {
        let body = read_answer(answer.as_mut(), ANSWER_LIMIT)
            .await
            .unwrap_or_default();
        ticket.finish(false);
        let text = String::from_utf8_lossy(&body).into_owned();
        match status {
            // What it was believed to hold is not there: the watch finds out.
            404 => self.refuse(Reason::UpstreamDown, &text),
            429 | 503 => self.refuse(Reason::Overloaded, &text),
            400..=499 => {
                self.step = Step::Rest(whole_frames(&self.state, &body).into());
                self.head(status, "application/json")
            }
            _ => self.broken(
                Ran::Unknown,
                "call engine",
                &format!("status {status}: {text}"),
            ),
        }
    }

    fn refuse(&self, reason: Reason, detail: &str) -> Frame {
        let refusal = refusal(reason, RETRY_MS, detail);
        self.state.refused(&self.request.head, refusal)
    }
}
