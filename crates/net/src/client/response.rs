//! An answer whose body is still to be read.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::Millis;
use snafu::ResultExt;

use super::Client;
use super::sender::Sender;
use crate::body::next_piece;
use crate::error::AnswerSnafu;
use crate::{BodyError, Framing, NetError, read_all};

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

    /// Next piece of the body, or `None` at its proper end.
    ///
    /// # Errors
    /// [`BodyError::Broken`] if the connection broke off first.
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
        let bytes = read_all(&mut self.rest.body, limit, span, &timer)
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
        let piece = next_piece(&mut self.body).await;
        if piece.is_none() {
            self.release();
        }
        piece
    }

    fn release(&mut self) {
        if let Some(kept) = self.kept.take() {
            kept.client.keep(kept.address, kept.sender, kept.limit);
        }
    }
}
