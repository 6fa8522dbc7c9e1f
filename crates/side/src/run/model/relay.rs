//! Passes a stream's events on from the engine to the entry.

use std::collections::VecDeque;
use std::time::Duration;

use pumicecleat_net::{BodyError, Stall};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{Frame, Ran};
use pumicecleat_upstream::{
    ChatResponse, ResponseError, ResponseErrorKind, StreamCheck, StreamEvent,
};

use super::{ModelRun, Step};
use crate::dispatch::Ticket;

/// Longest event of a stream.
pub(super) const MAX_EVENT_BYTES: usize = 1 << 20;
/// Time for an engine to end its body after the last event.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(100);

/// A stream that is passed on.
pub(super) struct Relay {
    pub(super) ticket: Ticket,
    pub(super) answer: Box<dyn ChatResponse>,
    pub(super) check: StreamCheck,
    pub(super) stall: Stall,
    /// Number of events passed on; about one per token.
    pub(super) events: u32,
}

impl ModelRun {
    /// Next frame of a stream: the whole events received so far, or the next ones to arrive.
    pub(super) async fn relay(&mut self, mut relay: Box<Relay>) -> Frame {
        loop {
            match relay.scan_events() {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => {
                    if relay.check.is_done() {
                        self.finish_stream(relay).await;
                    } else {
                        self.step = Step::Relay(relay);
                    }
                    return Frame::Data { bytes };
                }
                Err(e) => return self.invalid_answer(&e),
            }
            let piece = relay.stall.within(relay.answer.next()).await;
            match piece {
                Ok(Some(Ok(piece))) => {
                    relay.check.push(&piece);
                    // If it were kept during the waits, the connection would need a second buffer.
                    drop(piece);
                    if relay.events > 0 {
                        self.state.turns.place().await;
                    }
                }
                Ok(Some(Err(e))) => return self.read_failed(&e),
                Ok(None) => return self.ended_early(&mut relay),
                Err(_) => return self.broken_frame(Ran::Yes, "read stream", "engine stalled"),
            }
        }
    }

    /// Ends the stream after its last event. Reading the body to its end lets the connection be
    /// reused.
    async fn finish_stream(&mut self, mut relay: Box<Relay>) {
        // If the body has no proper end, the connection is closed. The answer is whole either way.
        let _ = self
            .state
            .timer
            .within(BODY_END_TIMEOUT, relay.answer.next())
            .await;
        relay.ticket.finish(true);
        self.state.answer_lengths.record(relay.events);
        self.state.metrics.completed.inc();
        let end = Frame::End {
            load: Some(self.backend.dispatcher.figures()),
        };
        self.step = Step::Remaining(VecDeque::from([end]));
    }

    fn ended_early(&self, relay: &mut Relay) -> Frame {
        relay.ticket.finish(false);
        match relay.check.finish() {
            Err(e) => self.invalid_answer(&e),
            Ok(()) => self.broken_frame(Ran::Yes, "read stream", "ended early"),
        }
    }

    fn read_failed(&self, error: &BodyError) -> Frame {
        self.broken_frame(Ran::Yes, "read stream", &error.to_string())
    }

    pub(super) fn invalid_answer(&self, error: &ResponseError) -> Frame {
        if let ResponseErrorKind::ModelMismatch { expected, found } = &error.source {
            self.state.metrics.mismatched.inc();
            let head = &self.request.head;
            let fields = [
                field("request", &head.request),
                field("attempt", head.attempt),
                field("asked", expected),
                field("answered", found),
            ];
            self.state.log.emit(&events::MODEL_MISMATCH, &fields);
        }
        self.broken_frame(Ran::Yes, "check answer", &error.to_string())
    }
}

impl Relay {
    /// Bytes of all whole events received, concatenated.
    fn scan_events(&mut self) -> Result<Vec<u8>, ResponseError> {
        let mut bytes = Vec::new();
        while let Some(event) = self.check.scan_event()? {
            self.events = self.events.saturating_add(1);
            let raw = match event {
                StreamEvent::Chunk(chunk) => chunk.raw,
                StreamEvent::Done { raw } => raw,
            };
            if bytes.is_empty() {
                bytes = raw;
            } else {
                bytes.extend_from_slice(&raw);
            }
        }
        Ok(bytes)
    }
}
