//! A connection and its responses, watched for whether the connection is idle.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use monoio::net::tcp::stream_poll::TcpStreamPoll;

use crate::fair::FairStream;
use crate::idle::{Exchange, Presence};
use crate::{Body, BodyError};

/// A connection that records reads and flushes.
pub(crate) struct WatchedStream {
    io: FairStream,
    presence: Rc<Presence>,
    /// Bytes that were read before and are read again first.
    unread: Bytes,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStreamPoll, presence: &Rc<Presence>) -> Self {
        Self {
            io: FairStream::new(stream),
            presence: Rc::clone(presence),
            unread: Bytes::new(),
        }
    }

    /// The same connection, on which `bytes` are read again.
    pub(crate) fn with_unread(self, bytes: Bytes) -> Self {
        Self {
            unread: bytes,
            ..self
        }
    }

    pub(crate) fn into_stream(self) -> TcpStreamPoll {
        self.io.into_stream()
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending => self.presence.record_blocked(),
            Poll::Ready(Ok(length)) => self.presence.record_written(*length),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl Read for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let again = self.unread.len().min(buffer.remaining());
        if again > 0 {
            buffer.put_slice(&self.unread[..again]);
            self.unread.advance(again);
            self.presence.record_read();
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut self.io).poll_read(cx, buffer);
        if read.is_ready() {
            self.presence.record_read();
        }
        read
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.presence.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        Write::is_write_vectored(&self.io)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, parts);
        self.record_write(&written);
        written
    }
}

/// Body of a response, whose request is in progress until the body is dropped.
pub(crate) struct WatchedBody {
    pub(crate) body: Body,
    pub(crate) _exchange: Exchange,
}

impl HttpBody for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
