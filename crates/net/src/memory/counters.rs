//! Counts of a budget, and the leases that they are made of.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::MemoryLimits;

/// Why something was refused or closed to keep the budget or the limit of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No room for another connection.
    Connection,
    /// No room for another request.
    Request,
    /// No room for a body.
    Body,
    /// A head that had stopped gave way.
    StalledHead,
    /// A body that had stopped gave way.
    StalledBody,
    /// A response that its caller did not read gave way.
    UnreadResponse,
    /// An idle or ending connection gave way.
    Idle,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 7] = [
        Self::Connection,
        Self::Request,
        Self::Body,
        Self::StalledHead,
        Self::StalledBody,
        Self::UnreadResponse,
        Self::Idle,
    ];

    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Body => "body",
            Self::StalledHead => "stalled_head",
            Self::StalledBody => "stalled_body",
            Self::UnreadResponse => "unread_response",
            Self::Idle => "idle",
        }
    }
}

/// Counts of a budget. Shared with threads that bytes may go to.
#[derive(Debug)]
pub(super) struct Counters {
    pub(super) limits: MemoryLimits,
    held: AtomicU64,
    causes: [AtomicU64; Cause::ALL.len()],
}

impl Counters {
    pub(super) fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            held: AtomicU64::new(0),
            causes: Default::default(),
        }
    }

    pub(super) fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    pub(super) fn count(&self, cause: Cause) {
        self.causes[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn counted(&self, cause: Cause) -> u64 {
        self.causes[cause as usize].load(Ordering::Relaxed)
    }

    /// Adds `bytes` unless more than `most` would be held.
    fn add(&self, bytes: u64, most: u64) -> bool {
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= most);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        self.held.fetch_update(set, fetch, add).is_ok()
    }

    fn subtract(&self, bytes: u64) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes of a budget, until dropped.
#[derive(Debug)]
pub struct Lease {
    counters: Arc<Counters>,
    bytes: u64,
}

impl Lease {
    pub(super) fn new(counters: &Arc<Counters>) -> Self {
        Self {
            counters: Arc::clone(counters),
            bytes: 0,
        }
    }

    /// Bytes of the lease.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds `bytes` if the budget has room for them.
    #[must_use]
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let size = self.bytes.saturating_add(bytes);
        let most = self.counters.limits.most_held(size);
        let is_granted = self.counters.add(bytes, most);
        if is_granted {
            self.bytes = size;
        }
        is_granted
    }

    /// Gives back all but `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let excess = self.bytes.saturating_sub(bytes);
        self.counters.subtract(excess);
        self.bytes -= excess;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
