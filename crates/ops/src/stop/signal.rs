//! SIGTERM and SIGINT, read from a pipe on the event loop.

use std::convert::Infallible;
use std::io;
use std::os::unix::net::UnixStream as StdStream;

use async_channel::{Receiver, Sender};
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use snafu::{ResultExt, Snafu};

/// Most bytes read from the pipe at once; each signal writes one.
const READ_BYTES: usize = 16;

/// Signal handlers could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)), display("step listen for signals: {source}"))]
pub struct StopError {
    source: io::Error,
}

/// Stop requests, by signal or by the program itself. Clones share the state.
#[derive(Clone, Debug)]
pub struct Stop {
    first: OneShotEvent,
    second: OneShotEvent,
}

/// Event that happens once and wakes all waiters.
#[derive(Clone, Debug)]
struct OneShotEvent {
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Stop {
    /// Creates a stop that signals request; must be called on the event loop.
    ///
    /// # Errors
    /// [`StopError`] if the pipe can't be created or a handler can't be registered.
    pub fn listen() -> Result<Self, StopError> {
        let stop = Self::without_signals();
        let pipe = signal_pipe().context(StopSnafu)?;
        monoio::spawn(read_signals(stop.clone(), pipe));
        Ok(stop)
    }

    /// Creates a stop that signals don't request, only [`request`](Self::request).
    #[must_use]
    pub fn without_signals() -> Self {
        Self {
            first: OneShotEvent::new(),
            second: OneShotEvent::new(),
        }
    }

    /// Acts like a signal: the first requests a stop, the second interrupts it.
    pub fn request(&self) {
        if self.first.is_set() {
            self.second.set();
        } else {
            self.first.set();
        }
    }

    /// Requests a stop; does nothing if one was already requested.
    pub fn request_once(&self) {
        self.first.set();
    }

    /// Whether a stop was requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.first.is_set()
    }

    /// Waits until a stop is requested.
    pub async fn requested(&self) {
        self.first.wait().await;
    }

    /// Waits until a stop is requested a second time.
    pub async fn requested_again(&self) {
        self.second.wait().await;
    }
}

impl OneShotEvent {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    fn set(&self) {
        self.sender.close();
    }

    fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    async fn wait(&self) {
        // Nothing is ever sent, so this returns only once the channel is closed.
        let _ = self.receiver.recv().await;
    }
}

fn signal_pipe() -> io::Result<UnixStream> {
    let (read, write) = StdStream::pair()?;
    pipe::register(SIGTERM, write.try_clone()?)?;
    pipe::register(SIGINT, write)?;
    read.set_nonblocking(true)?;
    UnixStream::from_std(read)
}

async fn read_signals(stop: Stop, mut pipe: UnixStream) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let (read, returned) = pipe.read(buffer).await;
        buffer = returned;
        let Ok(signals @ 1..) = read else {
            return;
        };
        for _ in 0..signals {
            stop.request();
        }
    }
}
