//! How many gateways share a bound, as agents tell it.

use pumicecleat_types::Millis;

/// Parts for each gateway: one that starts anew begins with an empty window, beside the repeats of its
/// last life, and all may do so within a window.
const LIVES: u32 = 2;

/// Number of gateways.
#[derive(Debug)]
pub(crate) struct Gateways {
    least: u32,
    /// Time for which the highest number told holds though lower ones are told: the window of what
    /// they share, as a gateway that has just ended has its part in it.
    window: Millis,
    told: u32,
    at: Millis,
}

impl Gateways {
    /// None was told of; `least` parts in any case, of what is bounded over `window`.
    pub(crate) fn new(least: u32, window: Millis) -> Self {
        Self {
            least,
            window,
            told: 0,
            at: Millis(0),
        }
    }

    /// An agent has heard of `count` lately.
    pub(crate) fn told(&mut self, count: u32, now: Millis) {
        if count >= self.told || now.since(self.at) > self.window {
            self.told = count;
            self.at = now;
        }
    }

    /// Gateways that were told of; this one at least.
    pub(crate) fn count(&self) -> u32 {
        self.told.max(1)
    }

    /// Number of gateways that share a rate limit: the number told by agents, or `least` until one is told.
    pub(crate) fn sharers(&self) -> u32 {
        if self.told == 0 {
            self.least.max(1)
        } else {
            self.told
        }
    }

    /// Parts into which what they share is cut.
    pub(crate) fn parts(&self) -> u32 {
        self.least.max(LIVES.saturating_mul(self.told)).max(1)
    }
}
