//! What became of a request so far.

use pumicecleat_policy::UpstreamIx;
use pumicecleat_types::{Ran, VmId};

use crate::fault::Fault;

/// What became of a request so far, over all its attempts.
pub(crate) struct History {
    /// Attempts sent.
    pub(crate) attempts: u32,
    /// Upstreams not to be chosen again.
    pub(crate) tried: Vec<UpstreamIx>,
    /// Upstream of the last attempt.
    pub(crate) last_upstream: Option<VmId>,
    /// Whether an attempt that has ended ran.
    ran: Ran,
    /// An attempt is under way.
    in_progress: bool,
    /// The one more attempt that a key allows was made.
    pub(crate) key_retry_used: bool,
    /// The one more attempt at the same side after differing configurations was made.
    pub(crate) same_side_retry_used: bool,
    /// Fault of the last attempt that failed.
    pub(crate) last_fault: Option<Fault>,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            attempts: 0,
            tried: Vec::new(),
            last_upstream: None,
            ran: Ran::No,
            in_progress: false,
            key_retry_used: false,
            same_side_retry_used: false,
            last_fault: None,
        }
    }

    /// Starts another attempt and gives its number.
    pub(crate) fn start_attempt(&mut self, up: UpstreamIx, vm: &VmId) -> u32 {
        self.attempts += 1;
        self.tried.push(up);
        self.last_upstream = Some(vm.clone());
        self.in_progress = true;
        self.attempts
    }

    /// Ends the attempt under way.
    pub(crate) fn end_attempt(&mut self, ran: Ran) {
        self.in_progress = false;
        self.ran = self.ran.max(ran);
    }

    /// Whether the request ran, as far as can be told: never `No` if any attempt may have run.
    pub(crate) fn ran(&self) -> Ran {
        if self.in_progress {
            return self.ran.max(Ran::Unknown);
        }
        self.ran
    }

    /// A fault made truthful over all attempts.
    pub(crate) fn raise_ran(&self, fault: Fault) -> Fault {
        match self.ran() {
            Ran::No => fault,
            _ => fault.after_unknown(),
        }
    }
}
