//! The era of a stream's offsets, as far as answers tell it.

/// Era of a stream's offsets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Era {
    /// Latest era told.
    pub(super) known: Option<u64>,
    /// An answer told an earlier one, or none after one was told.
    pub(super) odd: bool,
}

impl Era {
    /// Takes in what an answer told; gives the era known before if it is a later one.
    pub(super) fn note(&mut self, told: Option<u64>) -> Option<u64> {
        let Some(known) = self.known else {
            self.known = told;
            return None;
        };
        if told > Some(known) {
            return Some(known);
        }
        self.odd |= told != Some(known);
        None
    }
}
