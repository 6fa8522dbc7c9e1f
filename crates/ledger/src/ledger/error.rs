//! Errors of steps that are not allowed in an attempt's current phase.

use pumicecleat_types::Millis;
use snafu::Snafu;

use crate::Attempt;

/// A step that is not allowed in the attempt's current phase.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StepError {
    /// The attempt was abandoned or finished, or never claimed by this ledger.
    #[snafu(display("step {step}, attempt {attempt}: not open here"))]
    NotOpen {
        /// Step, as a verb.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
    },
    /// The attempt was sent before, so it may have run.
    #[snafu(display("step {step}, attempt {attempt}: already sent"))]
    AlreadySent {
        /// Step, as a verb.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
    },
    /// The deadline has passed. The attempt is abandoned now, and its caller may be told that it
    /// was not run.
    #[snafu(display("step {step}, attempt {attempt}: deadline {} ms has passed", deadline.0))]
    DeadlinePassed {
        /// Step, as a verb.
        step: &'static str,
        /// Attempt.
        attempt: Attempt,
        /// Deadline, milliseconds since 1970.
        deadline: Millis,
    },
}
