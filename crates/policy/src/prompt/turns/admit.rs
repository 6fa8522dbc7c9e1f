//! Refusal of requests whose first event can't be expected in time, with a time after which to retry.

use std::collections::BTreeSet;

use pumicecleat_types::{Millis, TurnRefusal};

use super::{BaseLocation, EngineState, TurnAction, TurnScheduler, WaitingRequest};

/// Fraction of the caller's patience within which the first event has to be expected.
const MAX_PATIENCE_RATIO: f64 = 0.75;

/// Number of objectives within which the first event has to be expected. A request that would take longer
/// should ask another engine, or be refused while its caller can still retry: a longer queue makes all
/// requests behind it late as well.
const MAX_OBJECTIVES: f64 = 3.0;

/// Shortest and longest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Millis = Millis(200);
const MAX_RETRY_AFTER: Millis = Millis(3_000);

/// Expected remaining time of a load of the base model that takes longer than expected.
const MIN_BASE_LOAD_LEFT: Millis = Millis(200);

impl TurnScheduler {
    /// Refuses requests that would be too late or can't be served.
    pub(super) fn refuse(&mut self, now: Millis, actions: &mut Vec<TurnAction>) {
        let mut tokens_ahead = self.outstanding_tokens();
        for turn in self.in_order(now) {
            let waiting = &self.waiting[&turn];
            let tokens_through = tokens_ahead + u64::from(waiting.request.prompt_tokens);
            match self.refusal(waiting, tokens_through, now) {
                None => tokens_ahead = tokens_through,
                Some((reason, retry_after)) => {
                    self.waiting.remove(&turn);
                    let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                    actions.push(TurnAction::Refuse {
                        turn,
                        reason,
                        retry_after,
                    });
                }
            }
        }
    }

    /// Reason and retry time if the request has to be refused. `tokens` are the prompt tokens up to and
    /// including those of the request.
    fn refusal(
        &self,
        waiting: &WaitingRequest,
        tokens: u64,
        now: Millis,
    ) -> Option<(TurnRefusal, Millis)> {
        if self.leaving {
            return Some((TurnRefusal::Leaving, MIN_RETRY_AFTER));
        }
        let Some(ready) = self.ready_in(now) else {
            return Some((TurnRefusal::NoEngine, MIN_RETRY_AFTER));
        };
        let waited = now.since(waiting.since);
        let limit = scale(waiting.request.patience, MAX_PATIENCE_RATIO)
            .min(scale(waiting.request.objective, MAX_OBJECTIVES));
        let first_event = ready + self.prefill_time(tokens);
        if waited + first_event > limit {
            return Some((TurnRefusal::TooLate, waited + first_event - limit));
        }
        let load = match &waiting.request.adapter {
            Some(a) if self.usable(a, waiting.request.min_version).is_none() => {
                let load = self.slots.load_time(a);
                let loading = self.slots.is_loading(a);
                if !loading && !waiting.request.waits_for_slot && !self.has_slot(a) {
                    return Some((TurnRefusal::NoSlot, load));
                }
                load
            }
            _ => Millis(0),
        };
        let prefill = self.prefill_time(u64::from(waiting.request.prompt_tokens));
        (waited + ready + load + prefill > limit).then_some((TurnRefusal::NoSlot, load))
    }

    /// Whether a slot is available for `adapter`, in addition to those that other requests wait for.
    fn has_slot(&self, adapter: &str) -> bool {
        self.available_slots(Some(adapter)) > 0
    }

    /// Slots that another adapter could take now, without those that requests wait for. Requests for `except`
    /// are ignored.
    pub(super) fn available_slots(&self, except: Option<&str>) -> u32 {
        let waiting_for_slot = self.waiting.values().filter(|w| w.request.waits_for_slot);
        let awaited: BTreeSet<&str> = waiting_for_slot
            .filter_map(|w| w.request.adapter.as_deref())
            .filter(|a| Some(*a) != except)
            .filter(|a| !self.slots.is_loaded(a) && !self.slots.is_loading(a))
            .collect();
        let awaited = u32::try_from(awaited.len()).unwrap_or(u32::MAX);
        self.slots
            .available(&self.adapters_in_use())
            .saturating_sub(awaited)
    }

    /// Expected load time of the base model.
    fn base_load_time(&self) -> Millis {
        let times = self.options.base_load_times;
        match self.base_location {
            BaseLocation::Memory => times.memory,
            BaseLocation::Disk => times.disk,
            BaseLocation::Store => times.store,
        }
    }

    /// Time until the engine accepts requests, or `None` if it is leaving or unknown.
    pub(super) fn ready_in(&self, now: Millis) -> Option<Millis> {
        if self.leaving {
            return None;
        }
        match self.engine {
            EngineState::Unknown => None,
            EngineState::NoBase => Some(self.base_load_time()),
            EngineState::LoadingBase { since } => Some(
                (since + self.base_load_time())
                    .since(now)
                    .max(MIN_BASE_LOAD_LEFT),
            ),
            EngineState::Ready => Some(Millis(0)),
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a part of a span far below 2^52 ms"
)]
fn scale(span: Millis, factor: f64) -> Millis {
    Millis((span.0 as f64 * factor) as u64)
}
