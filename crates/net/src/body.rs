//! Bodies: whole, or pulled piece by piece by the reader.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::future::{Either, select};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use pumicecleat_types::Millis;
use snafu::Snafu;

use crate::Timer;
use crate::fair::TURN_PAUSE;
use crate::idle::{PART_BYTES, Presence, STALL_SPAN};
use crate::memory::{Buffer, Cause, Wait};

/// Pieces of a body that are read in a row before other tasks run. A byte may be a piece of its own.
const PIECES_PER_TURN: u32 = 512;

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
    /// The memory for callers has no room for it.
    #[snafu(display("no memory for a body of {length} bytes"))]
    NoRoom {
        /// Length that was asked for, bytes.
        length: usize,
        /// Time after which to come back.
        retry_after: Millis,
    },
    /// Stopped short for a while, and gave way to others.
    #[snafu(display("body stopped after {length} bytes, and others need its place"))]
    GaveWay {
        /// Bytes that had come.
        length: usize,
        /// Time after which to come back.
        retry_after: Millis,
    },
    /// Connection broke off, or the framing is wrong.
    #[snafu(display("body broke off: {detail}"))]
    Broken {
        /// Cause.
        detail: String,
    },
}

impl BodyError {
    /// Time after which the peer may come back, if its body found no memory.
    #[must_use]
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            Self::NoRoom { retry_after, .. } | Self::GaveWay { retry_after, .. } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }

    /// HTTP status that tells a peer what was wrong with its body.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLong { .. } => 413,
            Self::TooSlow { .. } => 408,
            Self::NoRoom { .. } | Self::GaveWay { .. } => 503,
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

/// Body of a request, counted in the server's memory budget while it is read.
pub struct RequestBody {
    body: hyper::body::Incoming,
    presence: Rc<Presence>,
    wait: Rc<Wait>,
    /// Bytes that came.
    length: usize,
    /// Bytes that came since the body last went on.
    part: usize,
    /// Pieces that came since other tasks last ran.
    pieces: u32,
}

impl RequestBody {
    pub(crate) fn new(body: hyper::body::Incoming, presence: &Rc<Presence>) -> Self {
        Self {
            body,
            presence: Rc::clone(presence),
            wait: presence.body_wait(),
            length: 0,
            part: 0,
            pieces: 0,
        }
    }

    /// Length that the caller announced, bytes.
    #[must_use]
    pub fn announced(&self) -> Option<u64> {
        HttpBody::size_hint(&self.body).exact()
    }

    /// All bytes, if they are no more than `limit`. Memory for a length that is announced is leased before the first
    /// byte is read, so that a body once begun is not refused for others.
    async fn read(&mut self, limit: u64) -> Result<Bytes, BodyError> {
        if HttpBody::size_hint(&self.body).lower() > limit {
            return TooLongSnafu { limit }.fail();
        }
        if self.body.is_end_stream() {
            return Ok(Bytes::new());
        }
        self.start_part();
        let most = usize::try_from(limit).unwrap_or(usize::MAX);
        let mut buffer = Buffer::new_ext(&self.presence.budget, most);
        let announced = self.announced().unwrap_or_default();
        self.reserve(&mut buffer, usize::try_from(announced).unwrap_or(most))
            .await?;
        while let Some(piece) = self.next().await? {
            let length = buffer.len() + piece.len();
            if length > most {
                return TooLongSnafu { limit }.fail();
            }
            self.reserve(&mut buffer, length).await?;
            buffer.push(&piece);
        }
        Ok(buffer.freeze())
    }

    async fn reserve(&self, buffer: &mut Buffer, length: usize) -> Result<(), BodyError> {
        let budget = &self.presence.budget;
        let reserved = buffer.reserve(budget, length).await;
        reserved.map_err(|no_room| {
            budget.count(Cause::Body);
            let retry_after = no_room.retry_after;
            NoRoomSnafu {
                length,
                retry_after,
            }
            .build()
        })
    }

    /// Next piece, or `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        self.take_turn().await;
        let piece = {
            let next = pin!(next_piece(&mut self.body));
            let asked = pin!(poll_fn(|cx| self.wait.poll_asked(cx)));
            match select(next, asked).await {
                Either::Left((piece, _)) => Some(piece),
                Either::Right(_) => None,
            }
        };
        let Some(piece) = piece else {
            return Err(self.give_way());
        };
        let Some(piece) = piece.transpose()? else {
            self.wait.end();
            return Ok(None);
        };
        self.length += piece.len();
        self.part += piece.len();
        if self.part >= PART_BYTES {
            self.start_part();
        }
        Ok(Some(piece))
    }

    /// Lets other tasks run after many pieces, which may be as small as a byte.
    async fn take_turn(&mut self) {
        self.pieces += 1;
        if self.pieces >= PIECES_PER_TURN {
            self.pieces = 0;
            self.presence.budget.timer().sleep(TURN_PAUSE).await;
        }
    }

    fn start_part(&mut self) {
        self.part = 0;
        let now = self.presence.budget.timer().now();
        self.wait.begin(now + STALL_SPAN, Cause::StalledBody);
    }

    fn give_way(&self) -> BodyError {
        let budget = &self.presence.budget;
        budget.count(Cause::StalledBody);
        self.presence.follow(self.wait.take_request());
        let retry_after = budget.no_room().retry_after;
        let length = self.length;
        GaveWaySnafu {
            length,
            retry_after,
        }
        .build()
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        HttpBody::size_hint(&self.body)
    }
}

/// All bytes of a request's `body`, if they are no more than `limit`, come within `span` and find memory. They count
/// in the server's memory budget until their last use.
///
/// # Errors
/// [`BodyError`], by what was wrong.
pub async fn read_all(
    body: &mut RequestBody,
    limit: u64,
    span: Duration,
    timer: &Timer,
) -> Result<Bytes, BodyError> {
    match timer.within(span, body.read(limit)).await {
        Ok(result) => result,
        Err(_) => TooSlowSnafu { span }.fail(),
    }
}

/// All bytes of an answer's `body`, if they are no more than `limit` and come within `span`.
pub(crate) async fn read_answer(
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
