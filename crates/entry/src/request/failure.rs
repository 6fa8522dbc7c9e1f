//! Classification of failed attempts.

use pumicecleat_policy::AttemptOutcome;
use pumicecleat_types::{Millis, Ran, Reason, Refusal};

use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER, reason_code};

/// Reason why an attempt failed or could not be sent.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// No upstream is available.
    NoUpstream { retry_after: Millis },
    /// No upstream can meet the deadline.
    DeadlineUnreachable { retry_after: Millis },
    /// The side refused the attempt, which did not run.
    Refused(Refusal),
    /// The response was not received completely.
    Lost(Loss),
    /// The response belongs to another request, adapter or version.
    Mismatch { expected: String, found: String },
}

/// Details of an attempt without a complete response.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// Whether a time limit expired, as opposed to an error of the connection or the response.
    pub(crate) stalled: bool,
    /// Step that failed.
    pub(crate) step: String,
    /// Human-readable detail that names the peer.
    pub(crate) error: String,
}

impl Failure {
    /// Whether the request ran in this attempt.
    pub(crate) fn ran(&self) -> Ran {
        match self {
            Self::NoUpstream { .. } | Self::DeadlineUnreachable { .. } => Ran::No,
            Self::Refused(refusal) => ApiError::from_refusal(refusal).ran,
            Self::Lost(loss) => loss.ran,
            Self::Mismatch { .. } => Ran::Unknown,
        }
    }

    /// Stable name of the cause in logs and metrics.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Self::NoUpstream { .. } => "no_upstream",
            Self::DeadlineUnreachable { .. } => "overloaded",
            Self::Refused(refusal) => reason_code(refusal.reason),
            Self::Lost(loss) if loss.stalled => "stalled",
            Self::Lost(_) => "lost",
            Self::Mismatch { .. } => "mismatch",
        }
    }

    /// Outcome that is reported to the router.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Refused(refusal) => AttemptOutcome::Refused(refusal.reason, refusal.load),
            Self::Lost(loss) if loss.stalled => AttemptOutcome::Stalled,
            _ => AttemptOutcome::Failed,
        }
    }

    /// [`ApiError`] for the caller if the request is not retried.
    pub(crate) fn to_fault(&self) -> ApiError {
        match self {
            Self::NoUpstream { retry_after } => {
                ApiError::unavailable("no_upstream", "no upstream may take work", *retry_after)
            }
            Self::DeadlineUnreachable { retry_after } => ApiError {
                status: 429,
                ..ApiError::unavailable(
                    "overloaded",
                    "no upstream can meet the deadline",
                    *retry_after,
                )
            },
            Self::Refused(refusal) => ApiError::from_refusal(refusal),
            Self::Lost(loss) => Self::loss_fault(loss),
            Self::Mismatch { .. } => {
                ApiError::outcome_unknown("the upstream answered another request")
            }
        }
    }

    /// Whether a retry is pointless because it would fail in the same way at every other side.
    pub(crate) fn is_final(&self) -> bool {
        match self {
            Self::NoUpstream { .. } | Self::DeadlineUnreachable { .. } => true,
            Self::Refused(refusal) => is_final_reason(refusal.reason),
            Self::Lost(_) | Self::Mismatch { .. } => false,
        }
    }

    fn loss_fault(loss: &Loss) -> ApiError {
        if loss.ran == Ran::No {
            return ApiError::unavailable("upstream_unreachable", &loss.step, DEFAULT_RETRY_AFTER);
        }
        ApiError {
            ran: loss.ran,
            ..ApiError::outcome_unknown(format!("the upstream's answer broke off: {}", loss.step))
        }
    }
}

fn is_final_reason(reason: Reason) -> bool {
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
