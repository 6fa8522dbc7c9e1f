//! State of a request over its attempts.

use pumicecleat_policy::UpstreamIx;
use pumicecleat_types::{Ran, VmId};

use crate::api_error::ApiError;

/// State of a request over its attempts.
pub(crate) struct History {
    /// Number of attempts sent.
    pub(crate) attempts: u32,
    /// Upstreams that are excluded from the choice.
    pub(crate) tried: Vec<UpstreamIx>,
    /// Upstream of the last attempt.
    pub(crate) last_upstream: Option<VmId>,
    /// Whether the request ran in any attempt that has ended.
    ran: Ran,
    /// Whether an attempt is in progress.
    in_progress: bool,
    /// Whether the single retry that an idempotency key allows has been used.
    pub(crate) key_retried: bool,
    /// Whether the single retry at a side that refused because of differing configurations has been
    /// used.
    pub(crate) side_retried: bool,
    /// Fault of the last failed attempt.
    pub(crate) last_fault: Option<ApiError>,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            attempts: 0,
            tried: Vec::new(),
            last_upstream: None,
            ran: Ran::No,
            in_progress: false,
            key_retried: false,
            side_retried: false,
            last_fault: None,
        }
    }

    /// Starts another attempt and returns its number.
    pub(crate) fn start_attempt(&mut self, up: UpstreamIx, vm: &VmId) -> u32 {
        self.attempts += 1;
        self.tried.push(up);
        self.last_upstream = Some(vm.clone());
        self.in_progress = true;
        self.attempts
    }

    /// Ends the attempt in progress.
    pub(crate) fn end_attempt(&mut self, ran: Ran) {
        self.in_progress = false;
        self.ran = self.ran.max(ran);
    }

    /// Whether the request ran, as far as is known. Never `No` if it may have run in any attempt.
    pub(crate) fn ran(&self) -> Ran {
        if self.in_progress {
            return self.ran.max(Ran::Unknown);
        }
        self.ran
    }

    /// Returns `fault`, corrected if the request may have run in an earlier attempt.
    pub(crate) fn raise_ran(&self, fault: ApiError) -> ApiError {
        match self.ran() {
            Ran::No => fault,
            _ => fault.after_uncertain_attempt(),
        }
    }
}
