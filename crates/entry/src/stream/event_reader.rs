//! Reads and checks the events of one attempt.

use pumicecleat_types::Ran;
use pumicecleat_upstream::{Chunk, ResponseError, StreamCheck, StreamEvent, Usage};

use crate::request::{Attempt, BodyPart, Failure, Job, lost_failure, response_failure};
use crate::shared::Shared;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reader of the checked events of one attempt.
pub(super) struct EventReader {
    attempt: Attempt,
    /// Token counts that the engine reported last.
    pub(super) usage: Option<Usage>,
    check: StreamCheck,
    /// Whether events have been returned. Later reads wait for their turn.
    started: bool,
    /// Bytes of the event that ends the stream, held back until the side confirms that the response
    /// is complete.
    end_event: Option<Vec<u8>>,
}

/// Result of a read.
pub(super) enum EventBatch {
    /// Chunks of the response.
    Chunks(Vec<Chunk>),
    /// End of a complete response, with the bytes of the event that ends the stream.
    End(Vec<u8>),
}

impl EventReader {
    /// Creates a reader for an attempt of `job`.
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

    /// Reads the next checked events. If an event of a frame is invalid, none of its events are
    /// returned.
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

    /// Ends an attempt whose response is complete.
    pub(super) async fn finish(self, shared: &Shared) {
        self.attempt.finish(shared).await;
    }

    /// Ends a failed attempt.
    pub(super) fn fail(self, failure: Failure) -> Failure {
        self.attempt.fail(failure)
    }

    fn scan(&mut self) -> Result<Vec<Chunk>, ResponseError> {
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
