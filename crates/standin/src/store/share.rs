//! Full speed shared by the loads under way: alone at 1, with `k` at once each at `shared / k`.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Loads under way.
pub(crate) struct Share {
    shared: f64,
    slow: f64,
    last: Millis,
    next: u64,
    /// Milliseconds at full speed that each load still needs.
    left: BTreeMap<u64, f64>,
}

impl Share {
    /// No load; `shared` is the speed of all together when there are several.
    pub(crate) fn new(shared: f64) -> Self {
        Self {
            shared,
            slow: 1.0,
            last: Millis(0),
            next: 0,
            left: BTreeMap::new(),
        }
    }

    /// Makes every load take `factor` times as long from `now` on.
    pub(crate) fn slow_down(&mut self, now: Millis, factor: f64) {
        self.advance(now);
        self.slow = factor.max(f64::MIN_POSITIVE);
    }

    /// Adds a load that takes `work` milliseconds at full speed.
    pub(crate) fn join(&mut self, now: Millis, work: f64) -> u64 {
        self.advance(now);
        let id = self.next;
        self.next += 1;
        self.left.insert(id, work);
        id
    }

    /// Takes a load out.
    pub(crate) fn leave(&mut self, now: Millis, id: u64) {
        self.advance(now);
        self.left.remove(&id);
    }

    /// Milliseconds until the load ends, if nothing changes; zero once it has.
    pub(crate) fn due(&mut self, now: Millis, id: u64) -> f64 {
        self.advance(now);
        let left = self.left.get(&id).copied().unwrap_or(0.0);
        left / self.speed()
    }

    fn advance(&mut self, now: Millis) {
        let done = now.since(self.last).as_secs() * 1000.0 * self.speed();
        self.last = now;
        for left in self.left.values_mut() {
            *left = (*left - done).max(0.0);
        }
    }

    /// Speed of one load.
    fn speed(&self) -> f64 {
        let count = u32::try_from(self.left.len()).unwrap_or(u32::MAX);
        let share = match count {
            0 | 1 => 1.0,
            _ => self.shared / f64::from(count),
        };
        share / self.slow
    }
}
