//! Number of gateways among which a limit is divided, as reported by agents.

use pumicecleat_types::Millis;

/// Number of gateways.
#[derive(Clone, Copy, Debug)]
pub struct GatewayCount {
    min_shares: u32,
    /// Time for which the highest reported number is kept although lower ones are reported, because a gateway
    /// that has just stopped has used its share in that time.
    window: Millis,
    reported: u32,
    reported_at: Millis,
    /// Highest number ever reported.
    highest: u32,
}

impl GatewayCount {
    /// Creates the count before the first report. A saved limit is divided into at least `min_shares`; `window`
    /// is the window of the limits.
    #[must_use]
    pub fn new(min_shares: u32, window: Millis) -> Self {
        Self {
            min_shares,
            window,
            reported: 0,
            reported_at: Millis(0),
            highest: 0,
        }
    }

    /// Records that an agent has recently been called by `count` gateways.
    pub fn record_report(&mut self, count: u32, now: Millis) {
        self.highest = self.highest.max(count);
        if count >= self.reported || now.since(self.reported_at) > self.window {
            self.reported = count;
            self.reported_at = now;
        }
    }

    /// Number of gateways reported by agents, at least 1.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.reported.max(1)
    }

    /// Number of gateways that share a rate limit: the number reported by agents, or `min_shares` before the
    /// first report.
    #[must_use]
    pub fn sharers(&self) -> u32 {
        if self.reported == 0 {
            self.min_shares.max(1)
        } else {
            self.reported
        }
    }

    /// Number of shares into which the slack of repeats is divided. It never falls, because gateways that left
    /// and gateways behind a cut look the same.
    #[must_use]
    pub fn slack_shares(&self) -> u32 {
        self.min_shares.max(self.highest).max(1)
    }
}
