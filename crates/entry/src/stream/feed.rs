//! Checked events of one attempt.

use pumicecleat_types::Ran;
use pumicecleat_upstream::{AnswerError, Chunk, StreamCheck, StreamEvent, Usage};

use crate::request::{Attempt, Failure, Job, Part, answer_failure, lost};
use crate::shared::Shared;

/// Longest event, bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Checked events of one attempt.
pub(super) struct Feed {
    attempt: Attempt,
    /// Tokens as the engine told last.
    pub(super) usage: Option<Usage>,
    check: StreamCheck,
    /// Events were given: what follows waits for its turn.
    begun: bool,
    /// Bytes of the event that ends the stream, held back until the side says that it is whole.
    done: Option<Vec<u8>>,
}

/// What a feed gives next.
pub(super) enum Fed {
    /// Parts of the answer.
    Chunks(Vec<Chunk>),
    /// Proper end, with the bytes of its event.
    End(Vec<u8>),
}

impl Feed {
    /// Feed of an attempt whose answer must be to `job`.
    pub(super) fn new(attempt: Attempt, job: &Job) -> Self {
        let expect = attempt.expect(job, job.engine().unwrap_or_default());
        Self {
            check: StreamCheck::new(expect, EVENT_LIMIT),
            attempt,
            usage: None,
            begun: false,
            done: None,
        }
    }

    /// Next checked events; nothing of a frame with a wrong one is given.
    pub(super) async fn next(&mut self, shared: &Shared) -> Result<Fed, Failure> {
        loop {
            match self.attempt.next_part().await? {
                Part::Data(bytes) => {
                    if self.begun {
                        shared.turns.place().await;
                    }
                    self.check.push(&bytes);
                    let chunks = self.scan().map_err(|e| answer_failure(&e))?;
                    if !chunks.is_empty() {
                        self.begun = true;
                        return Ok(Fed::Chunks(chunks));
                    }
                }
                Part::End(load) => {
                    self.attempt.learn(shared, load);
                    return self.end();
                }
            }
        }
    }

    /// Ends an attempt that was answered whole.
    pub(super) async fn finish(self, shared: &Shared) {
        self.attempt.finish(shared).await;
    }

    /// Ends an attempt that failed.
    pub(super) fn fail(self, failure: Failure) -> Failure {
        self.attempt.fail(failure)
    }

    fn scan(&mut self) -> Result<Vec<Chunk>, AnswerError> {
        let mut chunks = Vec::with_capacity(1);
        while let Some(event) = self.check.scan_event()? {
            match event {
                StreamEvent::Chunk(chunk) => {
                    self.usage = chunk.usage.or(self.usage);
                    chunks.push(chunk);
                }
                StreamEvent::Done { raw } => self.done = Some(raw),
            }
        }
        Ok(chunks)
    }

    fn end(&mut self) -> Result<Fed, Failure> {
        if let Err(e) = self.check.finish() {
            return Err(lost(Ran::Yes, "check stream", e.to_string()));
        }
        Ok(Fed::End(self.done.take().unwrap_or_default()))
    }
}
