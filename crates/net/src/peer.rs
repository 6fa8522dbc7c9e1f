//! Exchanges between our own processes: `MessagePack` bodies over HTTP.

use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::{CodecError, Frame, decode, decode_prefix, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::error::{DecodeSnafu, StatusSnafu};
use crate::{BodyError, Client, NetError, Response};

/// Longest answer of a fixed-length exchange, bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Longest frame of a side's answer, bytes.
const FRAME_LIMIT: usize = 64 << 20;

/// Posts `message` to `path` at `peer` and gives its answer.
///
/// # Errors
/// [`NetError`], with the step at which the exchange failed.
pub async fn post<M: Serialize, A: DeserializeOwned>(
    client: &Client,
    peer: &str,
    path: &str,
    message: &M,
    span: Duration,
) -> Result<A, NetError> {
    let request = peer_request(path, encode(message));
    let mut response = client.send(peer, request, span).await?;
    let status = response.status();
    if status != 200 {
        return StatusSnafu { peer, status }.fail();
    }
    let body = response.read(ANSWER_LIMIT, span).await?;
    decode(&body).context(DecodeSnafu { peer })
}

pub(crate) fn peer_request(path: &str, body: Vec<u8>) -> http::Request<Bytes> {
    let mut request = http::Request::new(Bytes::from(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

/// Bytes of a frame.
#[must_use]
pub fn frame_bytes(frame: &Frame) -> Bytes {
    Bytes::from(encode(frame))
}

/// Frames that can't be read on.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// Body broke off.
    #[snafu(display("step read frame: {source}"))]
    Body {
        /// Cause.
        source: BodyError,
    },
    /// Not a frame.
    #[snafu(display("step read frame: {source}"))]
    Frame {
        /// Cause.
        source: CodecError,
    },
    /// Frame over the limit.
    #[snafu(display("step read frame: over {FRAME_LIMIT} bytes"))]
    FrameLength,
    /// Body ended within a frame.
    #[snafu(display("step read frame: ended within one"))]
    Cut,
}

/// Reader of the frames of a side's answer.
pub struct FrameReader {
    response: Response,
    pending: Vec<u8>,
    used: usize,
}

impl FrameReader {
    /// Reader of `response`.
    #[must_use]
    pub fn new(response: Response) -> Self {
        Self {
            response,
            pending: Vec::new(),
            used: 0,
        }
    }

    /// Next frame, or `None` at the proper end of the body.
    ///
    /// # Errors
    /// [`FrameError`] if the body broke off or holds no frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.scan_frame()? {
                return Ok(Some(frame));
            }
            match self.response.next().await {
                Some(piece) => self.pending.extend_from_slice(&piece.context(BodySnafu)?),
                None if self.pending.is_empty() => return Ok(None),
                None => return CutSnafu.fail(),
            }
        }
    }

    fn scan_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.pending[self.used..];
        let scanned = if rest.is_empty() {
            None
        } else {
            decode_prefix::<Frame>(rest).context(FrameSnafu)?
        };
        let Some((frame, length)) = scanned else {
            self.pending.drain(..self.used);
            self.used = 0;
            if self.pending.len() > FRAME_LIMIT {
                return FrameLengthSnafu.fail();
            }
            return Ok(None);
        };
        self.used += length;
        Ok(Some(frame))
    }
}
