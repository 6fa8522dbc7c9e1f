//! What goes to the engine next.
//!
//! Among callers within a window of the least work per claim, the earliest deadline goes first; the
//! window is a bound in work, so the shares hold over any span much longer than it.

use pumicecleat_types::Millis;

use super::queue::{Head, Lane};
use super::{Action, Scheduler, Sent};

/// Work by which a caller may run ahead of its share, in units per claim.
const AHEAD: f64 = 512.0;

/// Holds take at most one part in this of the least slack among the requests held.
const SLACK_PART: u64 = 4;

impl Scheduler {
    /// Sends while the engine has room.
    pub(super) fn send(&mut self, now: Millis) {
        if self.holds(now) {
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
        let Some(job) = self.queue.take(head.rank.id) else {
            return;
        };
        if let Some(lora) = job.lora {
            self.residency.pin(lora, now);
        }
        self.shares.charge(job.caller, job.claim, job.tokens);
        self.shares.advance(self.queue.callers().map(|(c, _)| c));
        let sent = Sent {
            lora: job.lora,
            tokens: job.tokens,
            at: now,
        };
        self.sent.insert(job.id, sent);
        self.orders.push(Action::Send(job.id));
    }

    /// First request by share and deadline among those that could run now.
    fn pick(&self) -> Option<Head> {
        let standing = |h: &Head| self.shares.standing(h.caller);
        let least = self.heads().map(|h| standing(&h)).reduce(f64::min)?;
        self.heads()
            .filter(|h| standing(h) <= least + AHEAD)
            .min_by_key(|h| (h.rank.deadline, h.rank.id))
    }

    /// First requests of each caller, for each adapter that is ready.
    fn heads(&self) -> impl Iterator<Item = Head> {
        self.runnable().flat_map(Lane::heads)
    }

    /// Requests that need no load.
    pub(super) fn runnable(&self) -> impl Iterator<Item = &Lane> {
        let ready = self.residency.ready_all().map(Some);
        let ready = ready.filter(|lora| self.draining != *lora);
        let lanes = std::iter::once(None).chain(ready);
        lanes.filter_map(|lora| self.queue.lane(lora))
    }

    /// Whether an idle engine waits for a fuller batch.
    fn holds(&self, now: Millis) -> bool {
        self.hold_end().is_some_and(|end| now < end)
    }

    /// When a held batch goes at the latest.
    pub(super) fn hold_wake(&self, now: Millis) -> Option<Millis> {
        self.hold_end().filter(|end| *end > now)
    }

    /// End of the hold, if an idle engine has fewer requests to run than its batch.
    fn hold_end(&self) -> Option<Millis> {
        let span = self.options.weights.scale_by_batch(self.options.max_hold);
        if span.0 == 0 || self.running() > 0 {
            return None;
        }
        // A call that needs no adapter gains nothing by company.
        let bare = self.queue.lane(None).map_or(0, Lane::count);
        let count: usize = self.runnable().map(Lane::count).sum();
        if bare > 0 || count == 0 || count >= self.options.max_batch as usize {
            return None;
        }
        let oldest = self.runnable().filter_map(Lane::oldest).min()?;
        let start = self.runnable().filter_map(Lane::start_by).min()?;
        let slack = start.since(oldest);
        let hold = span.min(Millis(slack.0 / SLACK_PART));
        Some(oldest + hold)
    }
}
