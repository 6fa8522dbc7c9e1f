//! Checked events of one attempt.

use pumicecleat_types::Ran;
use pumicecleat_upstream::{AnswerError, Chunk, StreamCheck, StreamEvent, Usage};

use crate::request::{Attempt, BodyPart, Failure, Job, lost_failure, response_failure};
use crate::shared::Shared;

/// Longest event, bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Checked events of one attempt.
pub(super) struct EventReader {
    attempt: Attempt,
    /// Tokens as the engine told last.
    pub(super) usage: Option<Usage>,
    check: StreamCheck,
    /// Events were given: what follows waits for its turn.
    started: bool,
    /// Bytes of the event that ends the stream, held back until the side says that it is whole.
    end_event: Option<Vec<u8>>,
}

/// What a feed gives next.
pub(super) enum EventBatch {
    /// Parts of the answer.
    Chunks(Vec<Chunk>),
    /// Proper end, with the bytes of its event.
    End(Vec<u8>),
}

impl EventReader {
    /// Feed of an attempt whose answer must be to `job`.
    pub(super) fn new(attempt: Attempt, job: &Job) -> Self {
        let expect = attempt.expected_response(job, job.engine_name().unwrap_or_default());
        Self {
            check: StreamCheck::new(expect, MAX_EVENT_BYTES),
            attempt,
            usage: None,
            started: false,
            end_event: None,
        }
    }

    /// Next checked events; nothing of a frame with a wrong one is given.
    pub(super) async fn next(&mut self, shared: &Shared) -> Result<EventBatch, Failure> {
        loop {
            match self.attempt.next_part().await? {
                BodyPart::Data(bytes) => {
                    if self.started {
                        shared.turns.place().await;
                    }
                    self.check.push(&bytes);
                    let chunks = self.scan().map_err(|e| response_failure(&e))?;
                    if !chunks.is_empty() {
                        self.started = true;
                        return Ok(EventBatch::Chunks(chunks));
                    }
                }
                BodyPart::End(load) => {
                    self.attempt.update_load(shared, load);
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
                StreamEvent::Done { raw } => self.end_event = Some(raw),
            }
        }
        Ok(chunks)
    }

    fn end(&mut self) -> Result<EventBatch, Failure> {
        if let Err(e) = self.check.finish() {
            return Err(lost_failure(Ran::Yes, "check stream", e.to_string()));
        }
        Ok(EventBatch::End(self.end_event.take().unwrap_or_default()))
    }
}
