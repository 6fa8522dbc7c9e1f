//! What the router is asked, what it answers, and what it is told of an attempt's end.

use pumicecleat_types::{LoadFigures, Millis, Reason};

use super::prefix::PromptAffinity;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// State of an upstream, by its side's report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Load.
    pub load: LoadFigures,
    /// Takes no new work.
    pub leaving: bool,
    /// Upstream answers its side.
    pub healthy: bool,
}

/// Question: where should this request go?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteQuery<'a> {
    /// Pool to choose from.
    pub pool: PoolIx,
    /// Adapter and version, or `None` for a plain service.
    pub lora: Option<LoraIx>,
    /// Prompt, of a chat.
    pub prompt: Option<PromptAffinity>,
    /// Time left until the caller's deadline.
    pub time_left: Millis,
    /// Upstreams that this request was sent to before; never chosen again.
    pub tried: &'a [UpstreamIx],
}

/// Upstream chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectedUpstream {
    /// Upstream.
    pub up: UpstreamIx,
    /// Expected wait until the first step of the request ends.
    pub wait: Millis,
    /// Adapter is resident there by the last report, or none is needed.
    pub resident: bool,
}

/// Answer to an [`RouteQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it there.
    Send(SelectedUpstream),
    /// Nowhere to send it to in time.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// End of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered whole.
    Completed,
    /// Refused by the side, not run.
    Refused(Reason, Option<LoadFigures>),
    /// No answer began within the header timeout.
    Stalled,
    /// Connection could not be made, or broke.
    Failed,
}
