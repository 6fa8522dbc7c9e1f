//! Graceful stop: a first signal asks for it, a second or a limit ends it.
//!
//! On the first signal a daemon becomes not ready, refuses new work as not run, stops its
//! listeners, and waits by [`Drain::finish`] until the requests under way have ended.

mod drain;
mod reload;
mod signal;

pub use drain::{Drain, DrainGuard, DrainOutcome};
pub use reload::Reload;
pub use signal::{Stop, StopError};
