//! Response of an engine to a chat call, read in chunks.

use bytes::Bytes;
use http::HeaderMap;
use pumicecleat_net::{BodyError, NetError, Response};
use snafu::IntoError;

use crate::call::{NetSnafu, UnframedBodySnafu, is_close_delimited};
use crate::{CallError, Local};

/// Response whose body has not been read yet. Dropping it before the end of the body aborts the
/// request at the engine.
pub trait ChatResponse {
    /// HTTP status.
    fn status(&self) -> u16;

    /// Headers.
    fn headers(&self) -> &HeaderMap;

    /// Address of the engine.
    fn peer(&self) -> &str;

    /// Next chunk of the body, or `None` once the body is complete.
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

/// Reads a complete body of at most `max_bytes` bytes.
///
/// # Errors
/// [`CallError`] if the body is too long, incomplete, or can't be verified to be complete.
pub async fn read_body(
    response: &mut dyn ChatResponse,
    max_bytes: u64,
) -> Result<Vec<u8>, CallError> {
    let peer = response.peer().to_owned();
    if is_close_delimited(response.status(), response.headers()) {
        return UnframedBodySnafu { peer }.fail();
    }
    let mut all = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|source| body_error(&peer, source))?;
        if (all.len() + chunk.len()) as u64 > max_bytes {
            return Err(body_error(&peer, BodyError::TooLong { limit: max_bytes }));
        }
        all.extend_from_slice(&chunk);
    }
    Ok(all)
}

fn body_error(peer: &str, source: BodyError) -> CallError {
    let peer = peer.to_owned();
    NetSnafu.into_error(NetError::Answer { peer, source })
}
