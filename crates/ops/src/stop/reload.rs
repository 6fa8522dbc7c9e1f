//! SIGHUP, by which a process hears that its settings changed.

use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::SIGHUP;
use signal_hook::low_level::pipe;
use snafu::ResultExt;

use super::StopError;
use super::signal::StopSnafu;

/// Signals read at a time; more say nothing new.
const READ_BYTES: usize = 16;

/// Hears of changed settings. Without it the signal would end the process.
pub struct Reload {
    pipe: UnixStream,
}

impl Reload {
    /// Starts to listen; must be called on the loop.
    ///
    /// # Errors
    /// [`StopError`] if the system gives no pipe or refuses a handler.
    pub fn listen() -> Result<Self, StopError> {
        let (read, write) = StdStream::pair().context(StopSnafu)?;
        pipe::register(SIGHUP, write).context(StopSnafu)?;
        read.set_nonblocking(true).context(StopSnafu)?;
        let pipe = UnixStream::from_std(read).context(StopSnafu)?;
        Ok(Self { pipe })
    }

    /// Waits for the next signal; `false` if there will be none.
    pub async fn next(&mut self) -> bool {
        let (read, _) = self.pipe.read(vec![0; READ_BYTES]).await;
        matches!(read, Ok(1..))
    }
}
