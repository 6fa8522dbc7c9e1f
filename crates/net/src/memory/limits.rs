//! Limits of a budget.

/// Size up to which a lease may use all of the budget, bytes.
const SMALL_BYTES: u64 = 192 * 1024;

/// Part of the budget that only small leases use.
const RESERVE_PART: u64 = 4;

/// Limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bytes that may be held for all callers together.
    pub capacity: u64,
}

impl MemoryLimits {
    /// No limit.
    pub const UNLIMITED: Self = Self { capacity: u64::MAX };

    /// Most bytes that may be held once a lease of `size` bytes is granted.
    #[must_use]
    pub fn most_held(&self, size: u64) -> u64 {
        if size <= SMALL_BYTES {
            return self.capacity;
        }
        self.capacity - self.capacity / RESERVE_PART
    }

    /// Longest body that fits beside its own connection while nothing else is held, bytes.
    #[must_use]
    pub fn longest_body(&self) -> u64 {
        self.most_held(u64::MAX).saturating_sub(SMALL_BYTES * 2)
    }
}
