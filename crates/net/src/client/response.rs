//! An answer whose body is still to be read.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::Millis;
use snafu::ResultExt;

use super::Client;
use super::sender::Sender;
use crate::body::{CutSnafu, TooSlowSnafu, next_piece, read_answer};
use crate::error::AnswerSnafu;
use crate::event_end::EventEnd;
use crate::time_limit::TimeLimit;
use crate::{BodyError, Framing, NetError};

/// What goes back to the pool after the body's end.
pub(super) struct Kept {
    pub(super) client: Client,
    pub(super) address: SocketAddr,
    pub(super) sender: Sender,
    /// When the peer may close it, if it says so.
    pub(super) limit: Option<Millis>,
}

/// Answer whose body is still to be read. Dropping it before the body's end closes its connection,
/// or its stream in HTTP/2, which is how a peer learns that nobody waits any more.
pub struct Response {
    pub(super) head: http::response::Parts,
    pub(super) peer: String,
    pub(super) rest: ResponseBody,
}

/// Body of an answer whose head isn't held any more; dropping it is as dropping the answer.
pub(crate) struct ResponseBody {
    pub(super) body: hyper::body::Incoming,
    pub(super) kept: Option<Kept>,
    /// Where the stream of events stands that the body is checked to be.
    pub(super) events: Option<Events>,
    /// Time limit of the whole body.
    pub(super) limit: Option<TimeLimit>,
}

/// Where a stream of events stands.
#[derive(Clone, Debug)]
pub(super) struct Events {
    framing: Framing,
    end: EventEnd,
    /// Whether an event has ended.
    begun: bool,
}

impl Events {
    fn push(&mut self, mut bytes: &[u8]) {
        while let Some(length) = self.end.scan(bytes) {
            self.begun = true;
            bytes = &bytes[length..];
        }
    }

    /// Whether the stream may be complete if no byte follows. A connection that ends before any event tells
    /// nothing.
    fn may_end(&self) -> bool {
        let is_told = self.begun || self.framing != Framing::Close;
        is_told && !self.end.is_inside()
    }
}

impl Response {
    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// Headers.
    #[must_use]
    pub fn headers(&self) -> &http::HeaderMap {
        &self.head.headers
    }

    /// How the end of the body is told.
    #[must_use]
    pub fn framing(&self) -> Framing {
        Framing::of(self.head.version, &self.head.headers)
    }

    /// Peer that answered.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Takes the body for a stream of server-sent events, whose end must be that of an event.
    pub fn expect_events(&mut self) {
        self.rest.events = Some(Events {
            framing: self.framing(),
            end: EventEnd::default(),
            begun: false,
        });
    }

    /// Whether the body is taken for a stream of events.
    #[must_use]
    pub fn has_events(&self) -> bool {
        self.rest.events.is_some()
    }

    /// Gives the body at most `span` from now, whatever comes of it.
    pub fn limit_time(&mut self, span: Duration) {
        let timer = self.rest.kept.as_ref().map(|k| k.client.timer());
        self.rest.limit = timer.map(|timer| TimeLimit::new(timer, span));
    }

    /// Next piece of the body, or `None` at its proper end.
    ///
    /// # Errors
    /// [`BodyError::Broken`] if the connection broke off first, [`BodyError::Cut`] if a stream of events
    /// ended inside one, [`BodyError::TooSlow`] if the body is not whole within its time limit.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.rest.next().await
    }

    /// Whole body of at most `limit` bytes, if it comes within `span`.
    ///
    /// # Errors
    /// [`NetError::Answer`] if it is not whole.
    pub async fn read(&mut self, limit: u64, span: Duration) -> Result<Vec<u8>, NetError> {
        let Some(timer) = self.rest.kept.as_ref().map(|k| k.client.timer().clone()) else {
            return Ok(Vec::new());
        };
        let bytes = read_answer(&mut self.rest.body, limit, span, &timer)
            .await
            .context(AnswerSnafu { peer: &self.peer })?;
        self.rest.release();
        Ok(bytes)
    }

    /// The body alone, for a long stream.
    pub(crate) fn into_body(self) -> ResponseBody {
        self.rest
    }
}

impl ResponseBody {
    /// Next piece, or `None` at the proper end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let piece = match self.next_in_time().await {
            Ok(piece) => piece,
            Err(e) => return Some(Err(e)),
        };
        match (&piece, &mut self.events) {
            (Some(Ok(bytes)), Some(events)) => events.push(bytes),
            (None, Some(events)) if !events.may_end() => {
                let framing = events.framing.as_str();
                self.kept = None;
                return Some(CutSnafu { framing }.fail());
            }
            (None, _) => self.release(),
            _ => {}
        }
        piece
    }

    /// Next piece, if the time limit has not ended.
    async fn next_in_time(&mut self) -> Result<Option<Result<Bytes, BodyError>>, BodyError> {
        let next = next_piece(&mut self.body);
        let Some(limit) = &mut self.limit else {
            return Ok(next.await);
        };
        match limit.within(next).await {
            Ok(piece) => Ok(piece),
            Err(_) => TooSlowSnafu { span: limit.span() }.fail(),
        }
    }

    fn release(&mut self) {
        if let Some(kept) = self.kept.take() {
            kept.client.keep(kept.address, kept.sender, kept.limit);
        }
    }
}
