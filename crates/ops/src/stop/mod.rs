//! Graceful shutdown, requested by a signal, and cut short by a second signal or a time limit.
//!
//! On the first signal a daemon becomes not ready, rejects new requests without running them, stops
//! its listeners, and waits with [`Drain::finish`] until the requests in flight have ended.

mod drain;
mod reload;
mod signal;

pub use drain::{Drain, DrainGuard, DrainOutcome};
pub use reload::Reload;
pub use signal::{Stop, StopError};
