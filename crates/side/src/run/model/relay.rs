//! A stream on its way from the engine to the entry.

use std::collections::VecDeque;
use std::time::Duration;

use pumicecleat_net::{BodyError, Stall};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{Frame, Ran};
use pumicecleat_upstream::{Answer, AnswerError, AnswerFault, StreamCheck, StreamEvent};

use super::{ModelRun, Step};
use crate::dispatch::Ticket;

/// Longest event of a stream, bytes.
pub(super) const EVENT_LIMIT: usize = 1 << 20;
/// Time for an engine to end its body after the last event.
const CLOSE_SPAN: Duration = Duration::from_millis(100);

/// A stream on its way.
pub(super) struct Relay {
    pub(super) ticket: Ticket,
    pub(super) answer: Box<dyn Answer>,
    pub(super) check: StreamCheck,
    pub(super) stall: Stall,
    /// Events passed on; about one a token.
    pub(super) events: u32,
}

impl ModelRun {
    /// Next frame of a stream: the events that are here, or the next ones that come.
    pub(super) async fn relay(&mut self, mut relay: Box<Relay>) -> Frame {
        loop {
            match relay.scan_events() {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => {
                    if relay.check.is_done() {
                        self.close(relay).await;
                    } else {
                        self.step = Step::Relay(relay);
                    }
                    return Frame::Data { bytes };
                }
                Err(e) => return self.wrong_answer(&e),
            }
            let piece = relay.stall.within(relay.answer.next()).await;
            match piece {
                Ok(Some(Ok(piece))) => {
                    relay.check.push(&piece);
                    // Held while it waits, the connection would need a second buffer.
                    drop(piece);
                    if relay.events > 0 {
                        self.state.turns.place().await;
                    }
                }
                Ok(Some(Err(e))) => return self.cut(&e),
                Ok(None) => return self.end_early(&mut relay),
                Err(_) => return self.broken(Ran::Yes, "read stream", "engine stalled"),
            }
        }
    }

    /// The last event is here; the body's end lets the connection be used again.
    async fn close(&mut self, mut relay: Box<Relay>) {
        // Without a proper end the connection is closed instead; the answer is whole either way.
        let _ = self
            .state
            .timer
            .within(CLOSE_SPAN, relay.answer.next())
            .await;
        relay.ticket.finish(true);
        self.state.answer_lengths.record(relay.events);
        self.state.metrics.completed.inc();
        let end = Frame::End {
            load: Some(self.work.dispatcher.figures()),
        };
        self.step = Step::Rest(VecDeque::from([end]));
    }

    fn end_early(&self, relay: &mut Relay) -> Frame {
        relay.ticket.finish(false);
        match relay.check.finish() {
            Err(e) => self.wrong_answer(&e),
            Ok(()) => self.broken(Ran::Yes, "read stream", "ended early"),
        }
    }

    fn cut(&self, error: &BodyError) -> Frame {
        self.broken(Ran::Yes, "read stream", &error.to_string())
    }

    pub(super) fn wrong_answer(&self, error: &AnswerError) -> Frame {
        if let AnswerFault::Model { expected, found } = &error.source {
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
        self.broken(Ran::Yes, "check answer", &error.to_string())
    }
}

impl Relay {
    /// Bytes of all events that are whole, in a row.
    fn scan_events(&mut self) -> Result<Vec<u8>, AnswerError> {
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
