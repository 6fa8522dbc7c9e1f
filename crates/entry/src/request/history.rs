//! What became of a request so far.

use pumicecleat_policy::UpstreamIx;
use pumicecleat_types::{Ran, VmId};

use crate::api_error::ApiError;

/// What became of a request so far, over all its attempts.
pub(crate) struct History {
    /// Attempts sent.
    pub(crate) attempts: u32,
    /// Upstreams not to be chosen again.
    pub(crate) tried: Vec<UpstreamIx>,
    /// Upstream of the last attempt.
    pub(crate) upstream: Option<VmId>,
    /// Whether an attempt that has ended ran.
    ran: Ran,
    /// An attempt is under way.
    open: bool,
    /// The one more attempt that a key allows was made.
    pub(crate) keyed: bool,
    /// The one more attempt at the same side after differing configurations was made.
    pub(crate) stale: bool,
    /// Fault of the last attempt that failed.
    pub(crate) last: Option<ApiError>,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            attempts: 0,
            tried: Vec::new(),
            upstream: None,
            ran: Ran::No,
            open: false,
            keyed: false,
            stale: false,
            last: None,
        }
    }

    /// Starts another attempt and gives its number.
    pub(crate) fn start(&mut self, up: UpstreamIx, vm: &VmId) -> u32 {
        self.attempts += 1;
        self.tried.push(up);
        self.upstream = Some(vm.clone());
        self.open = true;
        self.attempts
    }

    /// Ends the attempt under way.
    pub(crate) fn end(&mut self, ran: Ran) {
        self.open = false;
        self.ran = self.ran.max(ran);
    }

    /// Whether the request ran, as far as can be told: never `No` if any attempt may have run.
    pub(crate) fn ran(&self) -> Ran {
        if self.open {
            return self.ran.max(Ran::Unknown);
        }
        self.ran
    }

    /// A fault made truthful over all attempts.
    pub(crate) fn truthful(&self, fault: ApiError) -> ApiError {
        match self.ran() {
            Ran::No => fault,
            _ => fault.after_uncertain_attempt(),
        }
    }
}
