//! How an attempt failed.

use pumicecleat_policy::AttemptOutcome;
use pumicecleat_types::{Millis, Ran, Reason, Refusal};

use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER, reason_code};

/// How an attempt failed, or why there was none.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// No upstream may get work.
    Nowhere { retry: Millis },
    /// Every upstream is too late.
    Late { retry: Millis },
    /// The side refused: not run.
    Refused(Refusal),
    /// No whole answer came.
    Lost(Loss),
    /// Answer of another request, adapter or version.
    Mismatch { asked: String, answered: String },
}

/// An attempt without a whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    /// Whether it ran.
    pub(crate) ran: Ran,
    /// Nothing came in time, where a connection stood.
    pub(crate) stalled: bool,
    /// Step at which it failed.
    pub(crate) step: String,
    /// Detail for people, with the peer.
    pub(crate) error: String,
}

impl Failure {
    /// Whether the attempt ran.
    pub(crate) fn ran(&self) -> Ran {
        match self {
            Self::Nowhere { .. } | Self::Late { .. } => Ran::No,
            Self::Refused(refusal) => ApiError::from_refusal(refusal).ran,
            Self::Lost(loss) => loss.ran,
            Self::Mismatch { .. } => Ran::Unknown,
        }
    }

    /// Stable word for the cause.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Self::Nowhere { .. } => "no_upstream",
            Self::Late { .. } => "overloaded",
            Self::Refused(refusal) => reason_code(refusal.reason),
            Self::Lost(loss) if loss.stalled => "stalled",
            Self::Lost(_) => "lost",
            Self::Mismatch { .. } => "mismatch",
        }
    }

    /// What the router learns.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Refused(refusal) => AttemptOutcome::Refused(refusal.reason, refusal.load),
            Self::Lost(loss) if loss.stalled => AttemptOutcome::Stalled,
            _ => AttemptOutcome::Failed,
        }
    }

    /// What the caller is told if nothing follows.
    pub(crate) fn fault(&self) -> ApiError {
        match self {
            Self::Nowhere { retry } => {
                ApiError::unavailable("no_upstream", "no upstream may take work", *retry)
            }
            Self::Late { retry } => ApiError {
                status: 429,
                ..ApiError::unavailable("overloaded", "no upstream can meet the deadline", *retry)
            },
            Self::Refused(refusal) => ApiError::from_refusal(refusal),
            Self::Lost(loss) => Self::lost(loss),
            Self::Mismatch { .. } => {
                ApiError::outcome_unknown("the upstream answered another request")
            }
        }
    }

    /// Whether no other side would say otherwise.
    pub(crate) fn is_final(&self) -> bool {
        match self {
            Self::Nowhere { .. } | Self::Late { .. } => true,
            Self::Refused(refusal) => is_final(refusal.reason),
            Self::Lost(_) | Self::Mismatch { .. } => false,
        }
    }

    fn lost(loss: &Loss) -> ApiError {
        if loss.ran == Ran::No {
            return ApiError::unavailable("upstream_unreachable", &loss.step, DEFAULT_RETRY_AFTER);
        }
        ApiError {
            ran: loss.ran,
            ..ApiError::outcome_unknown(format!("the upstream's answer broke off: {}", loss.step))
        }
    }
}

fn is_final(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::KeyReused
            | Reason::KeyExpired
            | Reason::KeyInvalid
            | Reason::KeyBusy
            | Reason::KeyUnknown
            | Reason::BadRequest
    )
}
