//! Number of gateways among which a limit is divided, as reported by agents.

use pumicecleat_types::Millis;

/// Shares of the slack reserved for each gateway. A gateway that restarts begins with an empty window while
/// the repeats of its previous process still count, and all gateways may restart within one window.
const LIVES: u32 = 2;

/// Number of gateways.
#[derive(Debug)]
pub(crate) struct Gateways {
    least: u32,
    /// Time for which the highest reported number is kept although lower ones are reported. It is the window
    /// of the limit that is divided, because a gateway that has just stopped has used its share in that
    /// window.
    window: Millis,
    told: u32,
    at: Millis,
}

impl Gateways {
    /// Creates the count before the first report. The slack is divided into at least `min_shares`; `window`
    /// is the window of the limit.
    pub(crate) fn new(least: u32, window: Millis) -> Self {
        Self {
            least,
            window,
            told: 0,
            at: Millis(0),
        }
    }

    /// Records that an agent has recently been called by `count` gateways.
    pub(crate) fn told(&mut self, count: u32, now: Millis) {
        if count >= self.told || now.since(self.at) > self.window {
            self.told = count;
            self.at = now;
        }
    }

    /// Number of gateways reported by agents, at least 1.
    pub(crate) fn count(&self) -> u32 {
        self.told.max(1)
    }

    /// Number of gateways that share a rate limit: the number reported by agents, or `min_shares` before the
    /// first report.
    pub(crate) fn sharers(&self) -> u32 {
        if self.told == 0 {
            self.least.max(1)
        } else {
            self.told
        }
    }

    /// Number of shares into which the slack of repeats is divided.
    pub(crate) fn parts(&self) -> u32 {
        self.least.max(LIVES.saturating_mul(self.told)).max(1)
    }
}
