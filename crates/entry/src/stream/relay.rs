//! The body of a streamed answer, pulled by the caller's connection.
//!
//! Dropping it, as happens when the caller goes away, drops the attempt, and the side cancels.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use pumicecleat_net::{Body, BodyError};
use pumicecleat_types::Ran;
use pumicecleat_upstream::{Chunk, Progress};

use super::feed::{Fed, Feed};
use super::splice::Splice;
use crate::api_error::ApiError;
use crate::request::{Exchange, Failure};

/// Time for the error event to leave before the connection closes.
const ERROR_SPAN: Duration = Duration::from_millis(20);

/// A stream under way.
pub(crate) struct Relay {
    pub(super) exchange: Exchange,
    /// Attempt under way.
    pub(super) feed: Option<Feed>,
    /// What was passed on.
    pub(super) progress: Progress,
    /// First event passed on, which later attempts' events are fitted to.
    pub(super) first: Vec<u8>,
    /// Fits the events of a second attempt.
    pub(super) splice: Option<Splice>,
    /// A finish reason was passed on.
    pub(super) finished: bool,
    /// Streams gone on with so far.
    pub(super) resumes: u32,
    /// Bytes to pass on before all else.
    ready: Option<Bytes>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Open,
    /// Nothing follows.
    Whole,
    /// Nothing follows, and the connection closes without its last chunk.
    Broken,
}

impl Relay {
    /// Stream that has come to its first events.
    pub(super) fn new(exchange: Exchange, feed: Feed, first: Fed) -> Self {
        exchange.shared.meters.stream_opened();
        exchange.note_first();
        let mut relay = Self {
            exchange,
            feed: Some(feed),
            progress: Progress::default(),
            first: Vec::new(),
            splice: None,
            finished: false,
            resumes: 0,
            ready: None,
            stage: Stage::Open,
        };
        if let Fed::Chunks(chunks) = first {
            relay.ready = relay.pass(chunks);
        }
        relay
    }

    /// The request.
    pub(crate) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// The body.
    pub(crate) fn into_body(self: Box<Self>) -> Body {
        Body::Stream(Box::pin(unfold(self, Self::pull)))
    }

    async fn pull(mut self: Box<Self>) -> Option<(Result<Bytes, BodyError>, Box<Self>)> {
        loop {
            if let Some(bytes) = self.ready.take() {
                return Some((Ok(bytes), self));
            }
            match self.stage {
                Stage::Open => self.step().await,
                Stage::Whole => return None,
                Stage::Broken => {
                    self.exchange.timer().sleep(ERROR_SPAN).await;
                    let detail = "no whole answer".to_owned();
                    return Some((Err(BodyError::Broken { detail }), self));
                }
            }
        }
    }

    async fn step(&mut self) {
        let Some(feed) = &mut self.feed else {
            return self.stage = Stage::Broken;
        };
        match feed.next(&self.exchange.shared).await {
            Ok(Fed::Chunks(chunks)) => self.ready = self.pass(chunks),
            // Boxed, as each open stream would hold room for them.
            Ok(Fed::End(done)) => Box::pin(self.end(done)).await,
            Err(failure) => Box::pin(self.recover(failure)).await,
        }
    }

    async fn end(&mut self, done: Vec<u8>) {
        if let Some(feed) = self.feed.take() {
            self.note_usage(&feed);
            feed.finish(&self.exchange.shared).await;
        }
        self.exchange.history.end(Ran::Yes);
        self.exchange.note_whole();
        self.ready = Some(done.into());
        self.stage = Stage::Whole;
    }

    /// Counts of an answer that was gone on with are of its last part only.
    fn note_usage(&self, feed: &Feed) {
        if self.resumes == 0 {
            self.exchange.note_usage(feed.usage);
        }
    }

    async fn recover(&mut self, failure: Failure) {
        let failure = match self.feed.take() {
            Some(feed) => feed.fail(failure),
            None => failure,
        };
        self.exchange.note_failure(&failure);
        if let Err(error) = self.resume(&failure).await {
            self.cut(&error);
        }
    }

    /// Ends the stream visibly broken.
    fn cut(&mut self, error: &str) {
        let fault = ApiError {
            code: "stream_broken",
            ran: Ran::Yes,
            ..ApiError::outcome_unknown("the answer broke off and can't be gone on with")
        };
        self.exchange.note_cut(&fault, error);
        let mut event = b"data: ".to_vec();
        event.extend_from_slice(&fault.body());
        event.extend_from_slice(b"\n\n");
        self.ready = Some(event.into());
        self.stage = Stage::Broken;
    }

    /// Bytes of checked events for the caller; `None` if none is left to pass on.
    pub(super) fn pass(&mut self, chunks: Vec<Chunk>) -> Option<Bytes> {
        let mut out: Vec<u8> = Vec::new();
        for mut chunk in chunks {
            if let Some(splice) = &mut self.splice
                && !splice.fit(&mut chunk)
            {
                continue;
            }
            if self.first.is_empty() {
                self.first.clone_from(&chunk.raw);
            }
            self.finished |= chunk.finish.is_some();
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
