//! Fencing numbers of orders.

/// Highest fencing number seen, and whether older ones are refused.
pub(crate) struct Fencing {
    check: bool,
    highest: u64,
}

impl Fencing {
    /// Nothing seen.
    pub(crate) fn new(check: bool) -> Self {
        Self { check, highest: 0 }
    }

    /// Takes an order's number, or gives the highest seen if it is older and that is checked.
    pub(crate) fn admit(&mut self, number: u64) -> Result<(), u64> {
        if self.check && number < self.highest {
            return Err(self.highest);
        }
        self.highest = self.highest.max(number);
        Ok(())
    }
}
