//! Steps that an attempt can't take.

use pumicecleat_types::Millis;
use snafu::Snafu;

use crate::Attempt;

/// Step that an attempt can't take.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StepError {
    /// Void, finished, or never claimed here.
    #[snafu(display("step {step}, attempt {attempt}: not open here"))]
    NotOpen {
        /// Step.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
    },
    /// AlreadySent already: it may have run.
    #[snafu(display("step {step}, attempt {attempt}: already sent"))]
    AlreadySent {
        /// Step.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
    },
    /// Too late to send. It is void now, and its caller may be told that it wasn't run.
    #[snafu(display("step {step}, attempt {attempt}: deadline {} ms has passed", deadline.0))]
    DeadlinePassed {
        /// Step.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
        /// Deadline.
        deadline: Millis,
    },
}
