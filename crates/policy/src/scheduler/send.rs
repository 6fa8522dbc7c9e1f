//! Choice of the requests to send to the engine.
//!
//! Among callers within a window above the least work per claim, the request with the earliest
//! deadline goes first. The window bounds the work by which a caller can run ahead, so the shares
//! hold over any period in which much more work is sent.

use pumicecleat_types::Millis;

use super::queue::{Head, Lane};
use super::{Action, Scheduler, SentJob};

/// Work per claim by which a caller may run ahead of the caller that has had the least.
const MAX_LEAD: f64 = 512.0;

/// A hold takes at most 1/`HOLD_SLACK_DIVISOR` of the time from the oldest arrival to the earliest
/// latest start among the requests held.
const HOLD_SLACK_DIVISOR: u64 = 4;

impl Scheduler {
    /// Sends requests while the engine's batch has room.
    pub(super) fn send(&mut self, now: Millis) {
        if self.is_holding(now) {
            return;
        }
        while self.running() < self.options.max_batch {
            let Some(head) = self.pick() else {
                return;
            };
            self.send_one(&head, now);
        }
    }

    fn send_one(&mut self, head: &Head, now: Millis) {
        let Some(job) = self.queue.remove(head.rank.id) else {
            return;
        };
        if let Some(lora) = job.lora {
            self.residency.pin(lora, now);
        }
        self.shares.charge(job.caller, job.claim, job.tokens);
        self.shares
            .advance_virtual_time(self.queue.backlogs().map(|(c, _)| c));
        let sent = SentJob {
            lora: job.lora,
            tokens: job.tokens,
            sent_at: now,
        };
        self.sent.insert(job.id, sent);
        self.actions.push(Action::Send(job.id));
    }

    /// Next request to send, by share and deadline, among those that need no load.
    fn pick(&self) -> Option<Head> {
        let work_per_claim = |h: &Head| self.shares.work_per_claim(h.caller);
        let least = self.heads().map(|h| work_per_claim(&h)).reduce(f64::min)?;
        self.heads()
            .filter(|h| work_per_claim(h) <= least + MAX_LEAD)
            .min_by_key(|h| (h.rank.deadline, h.rank.id))
    }

    /// First request of each caller in each runnable lane.
    fn heads(&self) -> impl Iterator<Item = Head> {
        self.runnable_lanes().flat_map(Lane::heads)
    }

    /// Lanes of the requests that need no load.
    pub(super) fn runnable_lanes(&self) -> impl Iterator<Item = &Lane> {
        let ready = self.residency.ready_adapters().map(Some);
        let ready = ready.filter(|lora| self.draining != *lora);
        let lanes = std::iter::once(None).chain(ready);
        lanes.filter_map(|lora| self.queue.lane(lora))
    }

    /// Whether requests are held back at an idle engine for a fuller batch.
    fn is_holding(&self, now: Millis) -> bool {
        self.hold_end().is_some_and(|end| now < end)
    }

    /// When a hold ends, if that is yet to come.
    pub(super) fn hold_wake(&self, now: Millis) -> Option<Millis> {
        self.hold_end().filter(|end| *end > now)
    }

    /// End of the hold, if the engine is idle and the runnable requests don't fill its batch.
    fn hold_end(&self) -> Option<Millis> {
        let span = self.options.weights.scale_by_batch(self.options.max_hold);
        if span.0 == 0 || self.running() > 0 {
            return None;
        }
        // Batching is no gain for requests without an adapter, so these are sent at once.
        let no_adapter = self.queue.lane(None).map_or(0, Lane::count);
        let count: usize = self.runnable_lanes().map(Lane::count).sum();
        if no_adapter > 0 || count == 0 || count >= self.options.max_batch as usize {
            return None;
        }
        let oldest = self
            .runnable_lanes()
            .filter_map(Lane::oldest_arrival)
            .min()?;
        let start_by = self
            .runnable_lanes()
            .filter_map(Lane::first_start_by)
            .min()?;
        let slack = start_by.since(oldest);
        let hold = span.min(Millis(slack.0 / HOLD_SLACK_DIVISOR));
        Some(oldest + hold)
    }
}
