//! Resumes an interrupted stream at another upstream.

use std::time::Duration;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, Ran};

use super::event_reader::EventReader;
use super::relay::Relay;
use super::splice::Splice;
use crate::request::{Failure, RequestBody};

/// Maximum number of attempts to resume one stream, over its whole lifetime.
const MAX_RESUMES: u32 = 4;

/// Minimum time limit of a resumed attempt. A stream that has started may outlast its deadline.
const MIN_RESUME_TIME: Millis = Millis(5_000);

impl Relay {
    /// Resumes the stream at another upstream.
    ///
    /// # Errors
    /// The reason why it cannot be resumed, for the log.
    pub(super) async fn resume(&mut self, failure: &Failure) -> Result<(), String> {
        let cause = describe(failure);
        if self.finished {
            return Err(format!("{cause}; the text was already complete"));
        }
        let time_left = self.exchange.time_left().max(MIN_RESUME_TIME);
        let timer = self.exchange.timer().clone();
        let work = self.try_resume(&cause, time_left);
        let result = timer.within(Duration::from_millis(time_left.0), work).await;
        result.unwrap_or_else(|_| Err(format!("{cause}; no upstream resumed the stream in time")))
    }

    async fn try_resume(&mut self, cause: &str, time_left: Millis) -> Result<(), String> {
        let from = self.exchange.last_upstream().to_owned();
        while self.resume_count < MAX_RESUMES {
            self.resume_count += 1;
            let body = self.resume_body().map_err(|e| format!("{cause}; {e}"))?;
            match self.exchange.send_attempt(body, time_left).await {
                Ok((attempt, head)) if !head.is_error() => {
                    self.reader = Some(EventReader::new(attempt, &self.exchange.job));
                    self.splice = Some(Splice::new(&self.first_event, &self.progress));
                    self.exchange.history.end_attempt(Ran::Yes);
                    self.record_resume(&from);
                    return Ok(());
                }
                Ok((_, head)) => {
                    self.exchange.history.end_attempt(Ran::Yes);
                    return Err(format!("{cause}; engine status {}", head.status));
                }
                Err(failure) => {
                    self.exchange.record_failure(&failure);
                    if failure.is_final() {
                        return Err(format!("{cause}; {}", describe(&failure)));
                    }
                }
            }
        }
        Err(format!(
            "{cause}; gave up after {MAX_RESUMES} attempts to resume"
        ))
    }

    fn resume_body(&self) -> Result<Vec<u8>, String> {
        let job = &self.exchange.job;
        let RequestBody::Chat(chat) = &job.body else {
            return Err("not a chat request".to_owned());
        };
        let engine_name = job.engine_name().unwrap_or_default();
        let rendered = chat.render_resumed(engine_name, job.engine_priority(), &self.progress);
        rendered.map_err(|error| error.to_string())
    }

    fn record_resume(&self, from: &str) {
        let exchange = &self.exchange;
        exchange.shared.meters.count_resume();
        let fields = [
            field("request", &exchange.job.request_id),
            field("attempt", exchange.history.attempts),
            field("from", from),
            field("upstream", exchange.last_upstream()),
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
