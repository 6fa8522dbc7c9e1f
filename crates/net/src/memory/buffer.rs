//! A growing buffer whose memory is leased.

use bytes::Bytes;

use super::budget::{MemoryBudget, NoRoom};
use super::counters::Lease;

/// Memory that a buffer has at least, bytes.
const MIN_CAPACITY: usize = 4 * 1024;

/// Bytes whose memory is counted from before they arrive until their last use.
pub struct Buffer {
    bytes: Vec<u8>,
    lease: Lease,
    /// Longest that the bytes get.
    limit: usize,
}

/// Bytes with their lease, which both end with the last clone of what they are frozen to.
struct Owned {
    bytes: Vec<u8>,
    _lease: Lease,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffer {
    /// Empty buffer for at most `limit` bytes.
    #[must_use]
    pub fn new_ext(budget: &MemoryBudget, limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            lease: budget.lease(),
            limit,
        }
    }

    /// Length, bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for `length` bytes in all, if necessary after others have given way.
    ///
    /// # Errors
    /// [`NoRoom`] if the budget has none.
    pub(crate) async fn reserve(
        &mut self,
        budget: &MemoryBudget,
        length: usize,
    ) -> Result<(), NoRoom> {
        if let Some(growth) = self.growth(length) {
            budget.grow(&mut self.lease, growth).await?;
            self.use_lease();
        }
        Ok(())
    }

    /// Appends `piece` if the budget has room for it.
    #[must_use]
    pub fn try_push(&mut self, piece: &[u8]) -> bool {
        if let Some(growth) = self.growth(self.bytes.len() + piece.len()) {
            if !self.lease.try_grow(growth) {
                return false;
            }
            self.use_lease();
        }
        self.bytes.extend_from_slice(piece);
        true
    }

    /// Appends `piece`, for which room was made.
    pub(crate) fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// The bytes, whose lease ends with the last use of them.
    #[must_use]
    pub fn freeze(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        self.lease.shrink_to(self.bytes.capacity() as u64);
        Bytes::from_owner(Owned {
            bytes: self.bytes,
            _lease: self.lease,
        })
    }

    /// Bytes to lease so that `length` bytes fit, if they don't yet. Capacity doubles, so that pushes cost little, but not
    /// beyond the limit.
    fn growth(&self, length: usize) -> Option<u64> {
        let capacity = self.bytes.capacity();
        if length <= capacity {
            return None;
        }
        let doubled = (capacity * 2).clamp(MIN_CAPACITY, self.limit.max(MIN_CAPACITY));
        Some(length.max(doubled) as u64 - self.lease.bytes())
    }

    fn use_lease(&mut self) {
        let capacity = usize::try_from(self.lease.bytes()).unwrap_or(usize::MAX);
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }
}
