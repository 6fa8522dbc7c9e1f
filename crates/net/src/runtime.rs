//! Start of the one loop: the epoll driver only, so that no `io_uring` call is made.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};
use snafu::{ResultExt, Snafu};

/// The loop could not start.
#[derive(Debug, Snafu)]
#[snafu(display("step start loop: {source}"))]
pub struct RuntimeError {
    source: std::io::Error,
}

/// Runs `main` to its end on this thread.
///
/// # Errors
/// [`RuntimeError`] if the system gives no epoll instance.
pub fn run<F: Future>(main: F) -> Result<F::Output, RuntimeError> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .context(RuntimeSnafu)?;
    Ok(runtime.block_on(main))
}
