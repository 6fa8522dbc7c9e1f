//! Bodies: whole, or pulled piece by piece by the reader.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use snafu::Snafu;

use crate::Timer;

/// Pieces of a body; an error ends the connection without the body's last chunk.
pub type ByteStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// A body that is not whole.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BodyError {
    /// Longer than allowed.
    #[snafu(display("body over {limit} bytes"))]
    TooLong {
        /// Limit, bytes.
        limit: u64,
    },
    /// Not whole in time.
    #[snafu(display("body not whole within {span:?}"))]
    TooSlow {
        /// Time given.
        span: Duration,
    },
    /// Stream of events that ended inside one, or before the first.
    #[snafu(display("stream ended inside an event, framing {framing}"))]
    Cut {
        /// How the peer marked the end.
        framing: &'static str,
    },
    /// Connection broke off, or the framing is wrong.
    #[snafu(display("body broke off: {detail}"))]
    Broken {
        /// Cause.
        detail: String,
    },
}

impl BodyError {
    /// HTTP status that tells a peer what was wrong with its body.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLong { .. } => 413,
            Self::TooSlow { .. } => 408,
            Self::Cut { .. } | Self::Broken { .. } => 400,
        }
    }
}

/// Body to send.
pub enum Body {
    /// Known whole; sent with its length.
    Whole(Option<Bytes>),
    /// Pulled; sent in chunks, each at once.
    Stream(ByteStream),
}

impl Body {
    /// Whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|item| item.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// All bytes of `body`, if they are no more than `limit` and come within `span`.
///
/// # Errors
/// [`BodyError`], by what was wrong.
pub async fn read_all(
    body: &mut hyper::body::Incoming,
    limit: u64,
    span: Duration,
    timer: &Timer,
) -> Result<Vec<u8>, BodyError> {
    match timer.within(span, read_pieces(body, limit)).await {
        Ok(result) => result,
        Err(_) => TooSlowSnafu { span }.fail(),
    }
}

async fn read_pieces(body: &mut hyper::body::Incoming, limit: u64) -> Result<Vec<u8>, BodyError> {
    let mut all = Vec::new();
    while let Some(piece) = next_piece(body).await {
        let piece = piece?;
        if (all.len() + piece.len()) as u64 > limit {
            return TooLongSnafu { limit }.fail();
        }
        all.extend_from_slice(&piece);
    }
    Ok(all)
}

/// Next piece of `body`, or `None` at its proper end.
pub(crate) async fn next_piece(
    body: &mut hyper::body::Incoming,
) -> Option<Result<Bytes, BodyError>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data() {
                    return Some(Ok(bytes));
                }
            }
            Err(e) => {
                let detail = e.to_string();
                return Some(BrokenSnafu { detail }.fail());
            }
        }
    }
}
