//! Bytes that arrived and are not yet taken.

/// Buffer taken from the front, at a cost linear in what passes through it.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    bytes: Vec<u8>,
    taken: usize,
}

impl Pending {
    /// Adds bytes at the back.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        // Moved only once at least half is taken, so that each byte moves a bounded number of times.
        if self.taken > self.bytes.len() / 2 {
            self.bytes.drain(..self.taken);
            self.taken = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes not yet taken.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }

    /// Takes `length` bytes from the front.
    pub(crate) fn take(&mut self, length: usize) {
        self.taken += length;
        if self.taken == self.bytes.len() {
            // Not kept for the next piece: thousands of streams each wait for theirs most of the time.
            self.bytes = Vec::new();
            self.taken = 0;
        }
    }
}
