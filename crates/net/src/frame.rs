//! Frames of a side's answer: each a length in four bytes, then a `MessagePack` body.
//!
//! The length lets a reader take each byte once: without it a long frame that arrives in pieces
//! would be decoded from its start at each piece.

use bytes::Bytes;
use pumicecleat_types::{CodecError, Frame, decode, encode};
use snafu::{ResultExt, Snafu, ensure};

use crate::client::ResponseBody;
use crate::pending::Pending;
use crate::{BodyError, Response};

/// Longest frame, bytes.
const FRAME_LIMIT: usize = 64 << 20;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Bytes of a frame with its length.
///
/// A frame over the limit of 64 MiB is refused by its reader.
#[must_use]
pub fn frame_bytes(frame: &Frame) -> Bytes {
    let body = encode(frame);
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    Bytes::from(bytes)
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

/// Scanner over the bytes of a side's answer, which may be cut anywhere.
#[derive(Debug, Default)]
pub struct FrameScanner {
    pending: Pending,
}

impl FrameScanner {
    /// Scanner of no bytes yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.push(bytes);
    }

    /// Next whole frame, or `None` until more bytes come.
    ///
    /// # Errors
    /// [`FrameError::FrameLength`] or [`FrameError::Frame`]; nothing can be read after it.
    pub fn scan_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some((head, rest)) = self.pending.bytes().split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        ensure!(length <= FRAME_LIMIT, FrameLengthSnafu);
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let frame = decode(body).context(FrameSnafu)?;
        self.pending.take(LENGTH_BYTES + length);
        Ok(Some(frame))
    }

    /// Whether no frame has begun.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.bytes().is_empty()
    }
}

/// Reader of the frames of a side's answer.
pub struct FrameReader {
    body: ResponseBody,
    scanner: FrameScanner,
}

impl FrameReader {
    /// Reader of `response`.
    #[must_use]
    pub fn new(response: Response) -> Self {
        Self {
            body: response.into_body(),
            scanner: FrameScanner::new(),
        }
    }

    /// Next frame, or `None` at the proper end of the body.
    ///
    /// # Errors
    /// [`FrameError`] if the body broke off or holds no frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.scanner.scan_frame()? {
                return Ok(Some(frame));
            }
            match self.body.next().await {
                Some(piece) => self.scanner.push(&piece.context(BodySnafu)?),
                None if self.scanner.is_empty() => return Ok(None),
                None => return CutSnafu.fail(),
            }
        }
    }
}
