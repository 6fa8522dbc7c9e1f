//! Body of a streamed response, polled by the caller's connection.
//!
//! Dropping the body, as happens when the caller disconnects, drops the attempt, upon which the
//! side cancels it.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use pumicecleat_net::{Body, BodyError};
use pumicecleat_types::Ran;
use pumicecleat_upstream::{Chunk, Progress};

use super::event_reader::{EventBatch, EventReader};
use super::splice::Splice;
use crate::api_error::ApiError;
use crate::request::{Exchange, Failure};

/// Time for the error event to be sent before the connection closes.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// A stream in progress.
pub(crate) struct Relay {
    pub(super) exchange: Exchange,
    /// Reader of the attempt in progress.
    pub(super) reader: Option<EventReader>,
    /// Progress of the response, as far as forwarded.
    pub(super) progress: Progress,
    /// First forwarded event, to which the events of later attempts are matched.
    pub(super) first_event: Vec<u8>,
    /// Rewrites the events of a resumed response.
    pub(super) splice: Option<Splice>,
    /// Whether a finish reason was forwarded.
    pub(super) finished: bool,
    /// Number of attempts to resume the stream.
    pub(super) resume_count: u32,
    /// Bytes to send next.
    pending: Option<Bytes>,
    state: RelayState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayState {
    Open,
    /// The response is complete.
    Complete,
    /// The response is incomplete, and the connection closes without the last chunk.
    Broken,
}

impl Relay {
    /// Creates the relay of a stream from its first events.
    pub(super) fn new(exchange: Exchange, reader: EventReader, first_batch: EventBatch) -> Self {
        exchange.shared.meters.stream_opened();
        exchange.record_first_byte();
        let mut relay = Self {
            exchange,
            reader: Some(reader),
            progress: Progress::default(),
            first_event: Vec::new(),
            splice: None,
            finished: false,
            resume_count: 0,
            pending: None,
            state: RelayState::Open,
        };
        if let EventBatch::Chunks(chunks) = first_batch {
            relay.pending = relay.forward(chunks);
        }
        relay
    }

    /// Exchange to which the stream belongs.
    pub(crate) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Converts the relay into the body of the reply.
    pub(crate) fn into_body(self: Box<Self>) -> Body {
        Body::Stream(Box::pin(unfold(self, Self::next_bytes)))
    }

    async fn next_bytes(mut self: Box<Self>) -> Option<(Result<Bytes, BodyError>, Box<Self>)> {
        loop {
            if let Some(bytes) = self.pending.take() {
                return Some((Ok(bytes), self));
            }
            match self.state {
                RelayState::Open => self.advance().await,
                RelayState::Complete => return None,
                RelayState::Broken => {
                    self.exchange.timer().sleep(ERROR_FLUSH_DELAY).await;
                    let detail = "response is incomplete".to_owned();
                    return Some((Err(BodyError::Broken { detail }), self));
                }
            }
        }
    }

    async fn advance(&mut self) {
        let Some(reader) = &mut self.reader else {
            return self.state = RelayState::Broken;
        };
        match reader.next(&self.exchange.shared).await {
            Ok(EventBatch::Chunks(chunks)) => self.pending = self.forward(chunks),
            // Boxed because each open stream would otherwise reserve space for these futures.
            Ok(EventBatch::End(end_event)) => Box::pin(self.complete(end_event)).await,
            Err(failure) => Box::pin(self.recover(failure)).await,
        }
    }

    async fn complete(&mut self, end_event: Vec<u8>) {
        if let Some(reader) = self.reader.take() {
            self.record_usage(&reader);
            reader.finish(&self.exchange.shared).await;
        }
        self.exchange.history.end_attempt(Ran::Yes);
        self.exchange.record_completion();
        self.pending = Some(end_event.into());
        self.state = RelayState::Complete;
    }

    /// Records the token counts, except of a resumed response: they cover only its last part.
    fn record_usage(&self, reader: &EventReader) {
        if self.resume_count == 0 {
            self.exchange.record_usage(reader.usage);
        }
    }

    async fn recover(&mut self, failure: Failure) {
        let failure = match self.reader.take() {
            Some(reader) => reader.fail(failure),
            None => failure,
        };
        self.exchange.record_failure(&failure);
        if let Err(error) = self.resume(&failure).await {
            self.end_broken(&error);
        }
    }

    /// Ends the stream with an error event.
    fn end_broken(&mut self, error: &str) {
        let fault = ApiError {
            code: "stream_broken",
            ran: Ran::Yes,
            ..ApiError::outcome_unknown("the answer broke off and can't be gone on with")
        };
        self.exchange.record_broken_stream(&fault, error);
        let mut event = b"data: ".to_vec();
        event.extend_from_slice(&fault.body());
        event.extend_from_slice(b"\n\n");
        self.pending = Some(event.into());
        self.state = RelayState::Broken;
    }

    /// Bytes of checked events to send to the caller; `None` if there are none.
    pub(super) fn forward(&mut self, chunks: Vec<Chunk>) -> Option<Bytes> {
        let mut out: Vec<u8> = Vec::new();
        for mut chunk in chunks {
            if let Some(splice) = &mut self.splice
                && !splice.rewrite(&mut chunk)
            {
                continue;
            }
            if self.first_event.is_empty() {
                self.first_event.clone_from(&chunk.raw);
            }
            self.finished |= chunk.finish_reason.is_some();
            self.progress.add(&chunk);
            if out.is_empty() {
                out = chunk.raw;
            } else {
                out.extend_from_slice(&chunk.raw);
            }
        }
        (!out.is_empty()).then(|| out.into())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.exchange.shared.meters.stream_closed();
    }
}
