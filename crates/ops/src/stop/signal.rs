//! SIGTERM and SIGINT, read from a pipe in the loop.

use std::convert::Infallible;
use std::io;
use std::os::unix::net::UnixStream as StdStream;

use async_channel::{Receiver, Sender};
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use snafu::{ResultExt, Snafu};

/// Bytes read from the pipe at a time; each signal writes one.
const READ_BYTES: usize = 16;

/// Signals can't be listened for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)), display("step listen for signals: {source}"))]
pub struct StopError {
    source: io::Error,
}

/// Requests to stop, by signal or by a part of the program. Clones see the same.
#[derive(Clone, Debug)]
pub struct Stop {
    first: Gate,
    second: Gate,
}

/// Opens once, for all who wait.
#[derive(Clone, Debug)]
struct Gate {
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Stop {
    /// Stop that signals reach; must be called on the loop.
    ///
    /// # Errors
    /// [`StopError`] if the system gives no pipe or refuses a handler.
    pub fn listen() -> Result<Self, StopError> {
        let stop = Self::without_signals();
        let pipe = signal_pipe().context(StopSnafu)?;
        monoio::spawn(watch(stop.clone(), pipe));
        Ok(stop)
    }

    /// Stop that no signal reaches, only [`request`](Self::request).
    #[must_use]
    pub fn without_signals() -> Self {
        Self {
            first: Gate::new(),
            second: Gate::new(),
        }
    }

    /// Counts as a signal: the first asks for a stop, the second ends it.
    pub fn request(&self) {
        if self.first.is_open() {
            self.second.open();
        } else {
            self.first.open();
        }
    }

    /// Asks for a stop once: does nothing if one is under way.
    pub fn request_once(&self) {
        self.first.open();
    }

    /// Whether a stop was asked for.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.first.is_open()
    }

    /// Waits until a stop is asked for.
    pub async fn requested(&self) {
        self.first.wait().await;
    }

    /// Waits until a stop is asked for again.
    pub async fn requested_again(&self) {
        self.second.wait().await;
    }
}

impl Gate {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    fn open(&self) {
        self.sender.close();
    }

    fn is_open(&self) -> bool {
        self.sender.is_closed()
    }

    async fn wait(&self) {
        // Nothing is ever sent, so that it ends by the close only.
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

async fn watch(stop: Stop, mut pipe: UnixStream) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let (read, back) = pipe.read(buffer).await;
        buffer = back;
        let Ok(signals @ 1..) = read else {
            return;
        };
        for _ in 0..signals {
            stop.request();
        }
    }
}
