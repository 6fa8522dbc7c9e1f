//! Going on with a broken stream at another upstream.

use std::time::Duration;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, Ran};

use super::feed::Feed;
use super::relay::Relay;
use super::splice::Splice;
use crate::request::{Content, Failure};

/// Attempts to go on with one stream, over its whole life.
const RESUMES: u32 = 4;

/// Least time that a resumed attempt is given: a stream may outlast its deadline once it flows.
const LEAST: Millis = Millis(5_000);

impl Relay {
    /// Goes on at another upstream.
    ///
    /// # Errors
    /// Why it can't, for the log.
    pub(super) async fn resume(&mut self, failure: &Failure) -> Result<(), String> {
        let cause = describe(failure);
        if self.finished {
            return Err(format!("{cause}; all text was passed on"));
        }
        let left = self.exchange.left().max(LEAST);
        let timer = self.exchange.timer().clone();
        let work = self.try_resume(&cause, left);
        let result = timer.within(Duration::from_millis(left.0), work).await;
        result.unwrap_or_else(|_| Err(format!("{cause}; no upstream went on in time")))
    }

    async fn try_resume(&mut self, cause: &str, left: Millis) -> Result<(), String> {
        let from = self.exchange.upstream().to_owned();
        while self.resumes < RESUMES {
            self.resumes += 1;
            let body = self.resumed_body().map_err(|e| format!("{cause}; {e}"))?;
            match self.exchange.attempt(body, left).await {
                Ok((attempt, head)) if !head.is_error() => {
                    self.feed = Some(Feed::new(attempt, &self.exchange.job));
                    self.splice = Some(Splice::new(&self.first, &self.progress));
                    self.exchange.history.end(Ran::Yes);
                    self.note_resumed(&from);
                    return Ok(());
                }
                Ok((_, head)) => {
                    self.exchange.history.end(Ran::Yes);
                    return Err(format!("{cause}; engine status {}", head.status));
                }
                Err(failure) => {
                    self.exchange.note_failure(&failure);
                    if failure.is_final() {
                        return Err(format!("{cause}; {}", describe(&failure)));
                    }
                }
            }
        }
        Err(format!("{cause}; gone on with {RESUMES} times already"))
    }

    fn resumed_body(&self) -> Result<Vec<u8>, String> {
        let job = &self.exchange.job;
        let Content::Chat(chat) = &job.content else {
            return Err("no chat request".to_owned());
        };
        let engine = job.engine().unwrap_or_default();
        let rendered = chat.render_resumed(engine, job.engine_priority(), &self.progress);
        rendered.map_err(|barrier| barrier.to_string())
    }

    fn note_resumed(&self, from: &str) {
        let exchange = &self.exchange;
        exchange.shared.meters.count_resume();
        let fields = [
            field("request", &exchange.job.request),
            field("attempt", exchange.history.attempts),
            field("from", from),
            field("upstream", exchange.upstream()),
            field("tokens", self.progress.tokens),
        ];
        exchange.shared.log.emit(&events::REQUEST_RESUMED, &fields);
    }
}

fn describe(failure: &Failure) -> String {
    match failure {
        Failure::Lost(loss) => format!("{}: {}", loss.step, loss.error),
        _ => failure.cause().to_owned(),
    }
}
