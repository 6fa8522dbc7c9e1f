//! Refusals: at once where a first event can't be promised, with a time to come back.

use std::collections::BTreeSet;

use pumicecleat_types::{Millis, TurnRefusal};

use super::{BaseLocation, Condition, TurnAction, TurnScheduler, Waiting};

/// Share of a caller's patience up to which a first event is still promised.
const PROMISE: f64 = 0.75;

/// Objectives up to which a first event is promised. A request that would be later is better asked
/// at another engine, or refused while its caller can still come back: a longer queue makes all
/// behind it late as well.
const OBJECTIVES: f64 = 3.0;

/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_LEAST: Millis = Millis(200);
const RETRY_MOST: Millis = Millis(3_000);

/// Expected rest of a load of the base model that takes longer than expected.
const BASE_LEAST: Millis = Millis(200);

impl TurnScheduler {
    /// Refuses what would come too late, or can't come at all.
    pub(super) fn refuse(&mut self, now: Millis, actions: &mut Vec<TurnAction>) {
        let mut ahead = self.unread();
        for turn in self.in_order(now) {
            let waiting = &self.waiting[&turn];
            let after = ahead + u64::from(waiting.request.prompt_tokens);
            match self.verdict(waiting, after, now) {
                None => ahead = after,
                Some((reason, retry)) => {
                    self.waiting.remove(&turn);
                    let retry = retry.clamp(RETRY_LEAST, RETRY_MOST);
                    actions.push(TurnAction::Refuse {
                        turn,
                        reason,
                        retry_after: retry,
                    });
                }
            }
        }
    }

    /// Whether the request has to be refused, `ahead` tokens being read up to its last.
    fn verdict(&self, waiting: &Waiting, ahead: u64, now: Millis) -> Option<(TurnRefusal, Millis)> {
        if self.leaving {
            return Some((TurnRefusal::Leaving, RETRY_LEAST));
        }
        let Some(ready) = self.ready_in(now) else {
            return Some((TurnRefusal::NoEngine, RETRY_LEAST));
        };
        let waited = now.since(waiting.since);
        let promise = scaled(waiting.request.patience, PROMISE)
            .min(scaled(waiting.request.objective, OBJECTIVES));
        let read = ready + self.read_time(ahead);
        if waited + read > promise {
            return Some((TurnRefusal::Late, waited + read - promise));
        }
        let load = match &waiting.request.adapter {
            Some(a) if self.usable(a, waiting.request.min_version).is_none() => {
                let load = self.places.load_time(a);
                let coming = self.places.is_coming(a);
                if !coming && !waiting.request.waits_for_slot && !self.has_place(a) {
                    return Some((TurnRefusal::NoPlace, load));
                }
                load
            }
            _ => Millis(0),
        };
        let own = self.read_time(u64::from(waiting.request.prompt_tokens));
        (waited + ready + load + own > promise).then_some((TurnRefusal::NoPlace, load))
    }

    /// Whether a place can be had for `adapter` now, beside those that others wait for.
    fn has_place(&self, adapter: &str) -> bool {
        self.spare_places(Some(adapter)) > 0
    }

    /// Places that a further adapter could take now, without those that are waited for; `but` is not
    /// counted among them.
    pub(super) fn spare_places(&self, but: Option<&str>) -> u32 {
        let staying = self.waiting.values().filter(|w| w.request.waits_for_slot);
        let wanted: BTreeSet<&str> = staying
            .filter_map(|w| w.request.adapter.as_deref())
            .filter(|a| Some(*a) != but)
            .filter(|a| !self.places.is_held(a) && !self.places.is_coming(a))
            .collect();
        let wanted = u32::try_from(wanted.len()).unwrap_or(u32::MAX);
        self.places.spare(&self.in_use()).saturating_sub(wanted)
    }

    /// Time of a load of the base model.
    fn base_load(&self) -> Millis {
        let loads = self.options.base_load_times;
        match self.copy {
            BaseLocation::Memory => loads.memory,
            BaseLocation::Disk => loads.disk,
            BaseLocation::Store => loads.store,
        }
    }

    /// Time until the engine takes requests, if it will.
    pub(super) fn ready_in(&self, now: Millis) -> Option<Millis> {
        if self.leaving {
            return None;
        }
        match self.engine {
            Condition::Unknown => None,
            Condition::Empty => Some(self.base_load()),
            Condition::Loading { since } => {
                Some((since + self.base_load()).since(now).max(BASE_LEAST))
            }
            Condition::Ready => Some(Millis(0)),
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a part of a span far below 2^52 ms"
)]
fn scaled(span: Millis, part: f64) -> Millis {
    Millis((span.0 as f64 * part) as u64)
}
