//! How an attempt failed.

use pumicecleat_policy::AttemptOutcome;
use pumicecleat_types::{Millis, Ran, Reason, Refusal};

use crate::fault::{Fault, RETRY, reason_code};

/// How an attempt failed, or why there was none.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// No upstream may get work.
    NoUpstream { retry_after: Millis },
    /// Every upstream is too late.
    DeadlineUnreachable { retry_after: Millis },
    /// The side refused: not run.
    Refused(Refusal),
    /// No whole answer came.
    Lost(Loss),
    /// Answer of another request, adapter or version.
    Mismatch { expected: String, found: String },
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
            Self::NoUpstream { .. } | Self::DeadlineUnreachable { .. } => Ran::No,
            Self::Refused(refusal) => Fault::of_refusal(refusal).ran,
            Self::Lost(loss) => loss.ran,
            Self::Mismatch { .. } => Ran::Unknown,
        }
    }

    /// Stable word for the cause.
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

    /// What the router learns.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Refused(refusal) => AttemptOutcome::Refused(refusal.reason, refusal.load),
            Self::Lost(loss) if loss.stalled => AttemptOutcome::Stalled,
            _ => AttemptOutcome::Failed,
        }
    }

    /// What the caller is told if nothing follows.
    pub(crate) fn to_fault(&self) -> Fault {
        match self {
            Self::NoUpstream { retry_after } => {
                Fault::later("no_upstream", "no upstream may take work", *retry_after)
            }
            Self::DeadlineUnreachable { retry_after } => Fault {
                status: 429,
                ..Fault::later(
                    "overloaded",
                    "no upstream can meet the deadline",
                    *retry_after,
                )
            },
            Self::Refused(refusal) => Fault::of_refusal(refusal),
            Self::Lost(loss) => Self::loss_fault(loss),
            Self::Mismatch { .. } => Fault::unknown("the upstream answered another request"),
        }
    }

    /// Whether no other side would say otherwise.
    pub(crate) fn is_final(&self) -> bool {
        match self {
            Self::NoUpstream { .. } | Self::DeadlineUnreachable { .. } => true,
            Self::Refused(refusal) => is_final_reason(refusal.reason),
            Self::Lost(_) | Self::Mismatch { .. } => false,
        }
    }

    fn loss_fault(loss: &Loss) -> Fault {
        if loss.ran == Ran::No {
            return Fault::later("upstream_unreachable", &loss.step, RETRY);
        }
        Fault {
            ran: loss.ran,
            ..Fault::unknown(format!("the upstream's answer broke off: {}", loss.step))
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
