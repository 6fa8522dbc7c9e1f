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
    Closed {
        /// Step.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
    },
    /// Sent already: it may have run.
    #[snafu(display("step {step}, attempt {attempt}: already sent"))]
    Sent {
        /// Step.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
    },
    /// Too late to send. It is void now, and its caller may be told that it wasn't run.
    #[snafu(display("step {step}, attempt {attempt}: deadline {} ms has passed", deadline.0))]
    Late {
        /// Step.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
        /// Deadline.
        deadline: Millis,
    },
}
