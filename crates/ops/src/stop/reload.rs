//! SIGHUP, which tells a process that its settings changed.

use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::SIGHUP;
use signal_hook::low_level::pipe;
use snafu::ResultExt;

use super::StopError;
use super::signal::StopSnafu;

/// Most signals read at once. Several pending signals mean the same as one.
const READ_BYTES: usize = 16;

/// Receives SIGHUP, which would end the process if it were not handled.
pub struct Reload {
    pipe: UnixStream,
}

impl Reload {
    /// Starts to listen; must be called on the event loop.
    ///
    /// # Errors
    /// [`StopError`] if the pipe can't be created or the handler can't be registered.
    pub fn listen() -> Result<Self, StopError> {
        let (read, write) = StdStream::pair().context(StopSnafu)?;
        pipe::register(SIGHUP, write).context(StopSnafu)?;
        read.set_nonblocking(true).context(StopSnafu)?;
        let pipe = UnixStream::from_std(read).context(StopSnafu)?;
        Ok(Self { pipe })
    }

    /// Waits for the next signal. Returns `false` if none can arrive any more.
    pub async fn next(&mut self) -> bool {
        let (read, _) = self.pipe.read(vec![0; READ_BYTES]).await;
        matches!(read, Ok(1..))
    }
}
