//! Input and output types of the router.

use pumicecleat_types::{LoadFigures, Millis, Reason};

use super::prefix::PromptAffinity;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// State of an upstream as reported by its side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Load at the upstream.
    pub load: LoadFigures,
    /// The upstream takes no new work.
    pub leaving: bool,
    /// The upstream answers its side.
    pub healthy: bool,
}

/// Request to be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteQuery<'a> {
    /// Pool to select from.
    pub pool: PoolIx,
    /// Adapter and version; `None` for a service without an adapter.
    pub lora: Option<LoraIx>,
    /// Prompt affinity of a chat request.
    pub prompt: Option<PromptAffinity>,
    /// Time left until the caller's deadline.
    pub time_left: Millis,
    /// Upstreams that this request was already sent to; they are not selected again.
    pub tried: &'a [UpstreamIx],
}

/// Upstream selected for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectedUpstream {
    /// Index of the upstream.
    pub up: UpstreamIx,
    /// Expected wait until the first step of the request ends.
    pub wait: Millis,
    /// The adapter is resident there by the last report, or none is needed.
    pub resident: bool,
}

/// Result of a [`RouteQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send the request to this upstream.
    Send(SelectedUpstream),
    /// No upstream can serve the request in time.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was complete.
    Completed,
    /// The side refused the attempt without running it.
    Refused(Reason, Option<LoadFigures>),
    /// No answer began within the header timeout.
    Stalled,
    /// The connection could not be made, or broke.
    Failed,
}
