//! An engine's answer, piece by piece.

use bytes::Bytes;
use http::HeaderMap;
use pumicecleat_net::{BodyError, NetError, Response};
use snafu::IntoError;

use crate::call::{NetSnafu, UnframedBodySnafu, ends_by_close};
use crate::{CallError, Local};

/// Answer whose body is still to be read. Dropping it before its end aborts the work at the
/// engine.
pub trait ChatResponse {
    /// HTTP status.
    fn status(&self) -> u16;

    /// Headers.
    fn headers(&self) -> &HeaderMap;

    /// Peer that answers.
    fn peer(&self) -> &str;

    /// Next piece of the body, or `None` at its proper end.
    fn next(&mut self) -> Local<'_, Option<Result<Bytes, BodyError>>>;
}

impl ChatResponse for Response {
    fn status(&self) -> u16 {
        Response::status(self)
    }

    fn headers(&self) -> &HeaderMap {
        Response::headers(self)
    }

    fn peer(&self) -> &str {
        Response::peer(self)
    }

    fn next(&mut self) -> Local<'_, Option<Result<Bytes, BodyError>>> {
        Box::pin(Response::next(self))
    }
}

/// Whole body of at most `limit` bytes.
///
/// # Errors
/// [`CallError`] if the body is not provably whole, or too long.
pub async fn read_body(answer: &mut dyn ChatResponse, limit: u64) -> Result<Vec<u8>, CallError> {
    let peer = answer.peer().to_owned();
    if ends_by_close(answer.status(), answer.headers()) {
        return UnframedBodySnafu { peer }.fail();
    }
    let mut all = Vec::new();
    while let Some(piece) = answer.next().await {
        let piece = piece.map_err(|source| body_error(&peer, source))?;
        if (all.len() + piece.len()) as u64 > limit {
            return Err(body_error(&peer, BodyError::TooLong { limit }));
        }
        all.extend_from_slice(&piece);
    }
    Ok(all)
}

fn body_error(peer: &str, source: BodyError) -> CallError {
    let peer = peer.to_owned();
    NetSnafu.into_error(NetError::Answer { peer, source })
}
