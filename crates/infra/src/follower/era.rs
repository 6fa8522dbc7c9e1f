//! Tracks the era of a stream's offsets, which rises when the log is restored from an older copy.

/// Era of a stream's offsets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Era {
    /// Latest era received.
    pub(super) known: Option<u64>,
    /// Whether a response had an earlier era, or none after one was received.
    pub(super) invalid: bool,
}

impl Era {
    /// Compares the era of a response with the known one; returns the known one if the new one is later.
    pub(super) fn update(&mut self, received: Option<u64>) -> Option<u64> {
        let Some(known) = self.known else {
            self.known = received;
            return None;
        };
        if received > Some(known) {
            return Some(known);
        }
        self.invalid |= received != Some(known);
        None
    }
}
