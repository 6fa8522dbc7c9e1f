//! Number of gateways among which a limit is divided, as reported by agents.

use pumicecleat_types::Millis;

/// Number of gateways.
#[derive(Debug)]
pub(crate) struct GatewayCount {
    min_shares: u32,
    /// Time for which the highest reported number is kept although lower ones are reported. It is the window
    /// of the limit that is divided, because a gateway that has just stopped has used its share in that
    /// window.
    window: Millis,
    reported: u32,
    reported_at: Millis,
}

impl GatewayCount {
    /// Creates the count before the first report. The slack is divided into at least `min_shares`; `window`
    /// is the window of the limit.
    pub(crate) fn new(min_shares: u32, window: Millis) -> Self {
        Self {
            min_shares,
            window,
            reported: 0,
            reported_at: Millis(0),
        }
    }

    /// Records that an agent has recently been called by `count` gateways.
    pub(crate) fn record_report(&mut self, count: u32, now: Millis) {
        if count >= self.reported || now.since(self.reported_at) > self.window {
            self.reported = count;
            self.reported_at = now;
        }
    }

    /// Number of gateways reported by agents, at least 1.
    pub(crate) fn count(&self) -> u32 {
        self.reported.max(1)
    }

    /// Number of gateways that share a rate limit: the number reported by agents, or `min_shares` before the
    /// first report.
    pub(crate) fn sharers(&self) -> u32 {
        if self.reported == 0 {
            self.min_shares.max(1)
        } else {
            self.reported
        }
    }

    /// Number of shares into which the slack of repeats is divided.
    pub(crate) fn slack_shares(&self) -> u32 {
        self.min_shares.max(self.reported).max(1)
    }
}
