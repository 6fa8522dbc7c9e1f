//! A connection whose reads let other tasks run.
//!
//! The HTTP parser reads on while there are bytes and they make up neither a head nor a part of a body: interim
//! responses, for example, or the digits of a chunk's length. A peer that sends such bytes without end would
//! otherwise hold the loop, and with it every other connection and timer.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::time::{Sleep, sleep};
use monoio_compat::hyper::MonoioIo;

/// Reads in a row, each of one buffer at most, before other tasks run.
pub(crate) const READS_PER_TURN: u32 = 16;

/// Pause between two turns. The loop looks at timers only when no task is ready, so that a task which wakes itself
/// would hold them up.
pub(crate) const TURN_PAUSE: Duration = Duration::from_millis(1);

/// A connection whose reads let other tasks run.
pub(crate) struct FairStream {
    io: MonoioIo<TcpStreamPoll>,
    /// Reads left in this turn.
    left: u32,
    /// Pause before the next turn.
    pause: Option<Pin<Box<Sleep>>>,
}

impl FairStream {
    pub(crate) fn new(stream: TcpStreamPoll) -> Self {
        Self {
            io: MonoioIo::new(stream),
            left: READS_PER_TURN,
            pause: None,
        }
    }

    /// Waits for the next turn if this one is used up.
    fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.left > 0 {
            return Poll::Ready(());
        }
        let pause = self
            .pause
            .get_or_insert_with(|| Box::pin(sleep(TURN_PAUSE)));
        ready!(pause.as_mut().poll(cx));
        self.pause = None;
        self.left = READS_PER_TURN;
        Poll::Ready(())
    }

    pub(crate) fn into_stream(self) -> TcpStreamPoll {
        self.io.inner()
    }
}

impl Read for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_turn(cx));
        let read = Pin::new(&mut self.io).poll_read(cx, buffer);
        self.left = if read.is_ready() {
            self.left - 1
        } else {
            READS_PER_TURN
        };
        read
    }
}

impl Write for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
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
        Pin::new(&mut self.io).poll_write_vectored(cx, parts)
    }
}
