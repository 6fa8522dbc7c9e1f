//! Grants of turns: how much work the engine is given in advance, and when prompts wait for its streams.

use pumicecleat_types::Millis;

use super::run::RunningRequest;
use super::{EngineState, TurnAction, TurnScheduler};

/// Prefill time for which prompts are sent to the engine in advance: that of a usual prompt plus the overhead
/// of a turn. With more, the scheduler loses control of the order: a request with little time left waits
/// behind everything already sent. With less, the engine is idle for the overhead of a turn, some 40 ms.
const PREFILL_AHEAD: Millis = Millis(150);

/// Maximum number of prompts without a first event while the prefill rate is unknown: one in prefill and one
/// queued behind it.
const MAX_OUTSTANDING_UNMEASURED: usize = 2;

impl TurnScheduler {
    pub(super) fn grant(&mut self, now: Millis, actions: &mut Vec<TurnAction>) {
        if self.leaving || self.engine != EngineState::Ready {
            return;
        }
        for turn in self.in_order(now) {
            if self.is_full(now) {
                return;
            }
            let request = self.waiting[&turn].request.clone();
            let version = match &request.adapter {
                None => None,
                Some(adapter) => match self.usable(adapter, request.min_version) {
                    None => continue,
                    version => version,
                },
            };
            self.extend_prefill(request.prompt_tokens, now);
            self.record_account(request.account.as_deref(), request.prompt_tokens, now);
            if let Some(waiting) = self.waiting.remove(&turn) {
                let request = waiting.request;
                let run = RunningRequest {
                    adapter: request.adapter,
                    prompt_tokens: request.prompt_tokens,
                    granted: now,
                    expected_prefill_end: self.prefill_end,
                    started: false,
                    reported: false,
                    pause: request.pause,
                    events: 0,
                    last_event: now,
                    paused: false,
                };
                self.running.insert(request.request_id, run);
            }
            actions.push(TurnAction::Grant { turn, version });
        }
    }

    /// Whether the engine has as much work as it should be given.
    fn is_full(&self, now: Millis) -> bool {
        let unmeasured = self.prefill_rate.tokens_per_second().is_none();
        let ahead = self
            .pause_guard
            .max_ahead(&self.running, PREFILL_AHEAD, now);
        self.prefill_end > now + ahead
            || self.holds_back(now)
            || self.running.len() >= self.options.max_batch as usize
            || (unmeasured
                && self.running.values().filter(|r| !r.started).count()
                    >= MAX_OUTSTANDING_UNMEASURED)
    }

    /// Whether streams need their next events before the engine gets another prompt. While no prompt is
    /// outstanding, a late event has another cause.
    fn holds_back(&self, now: Millis) -> bool {
        self.outstanding_tokens() > 0 && self.pause_guard.holds_back(&self.running, now)
    }

    /// Whether the next report may end a hold of prompts, so that it should come soon.
    #[must_use]
    pub fn is_watching_streams(&self) -> bool {
        let watches = self.pause_guard.is_on() && !self.waiting.is_empty();
        watches && self.outstanding_tokens() > 0 && self.running.values().any(|r| r.started)
    }

    fn extend_prefill(&mut self, tokens: u32, now: Millis) {
        self.prefill_end = self.prefill_end.max(now) + self.prefill_time(u64::from(tokens));
    }
}
