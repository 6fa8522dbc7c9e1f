//! Order between requests of different client accounts.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_types::Millis;

use super::{TurnId, TurnScheduler};

/// Part of its share by which an account may be above it. Accounts that need about their share would otherwise be put
/// back together with one that is far above: one of them kept 0.89 of its requests in time instead of 0.9 or more.
const MAX_EXCESS: f64 = 0.05;

impl TurnScheduler {
    /// Moves requests of accounts above their share behind all others, if not all waiting requests can be in time
    /// in the given order. Otherwise the order is kept: another one could only make requests late.
    ///
    /// Late requests of other accounts also go first. With the accounts divided only within the late requests and
    /// within those that can be in time, a large account got 1.25 times its max-min share and others 0.85 of
    /// theirs (`prompt_shares`), because its queue always has requests that can be in time.
    pub(super) fn order_by_share(&self, mut turns: Vec<TurnId>, now: Millis) -> Vec<TurnId> {
        if !self.options.account_shares || !self.is_any_late(&turns, now) {
            return turns;
        }
        let waiting = self.waiting_tokens();
        let above = self.shares.above_share_by(MAX_EXCESS, &waiting, now);
        if !above.is_empty() {
            turns.sort_by_cached_key(|turn| {
                let waiting = &self.waiting[turn];
                (self.is_above(*turn, &above), self.is_late(waiting, now))
            });
        }
        turns
    }

    fn is_above(&self, turn: TurnId, above: &BTreeSet<String>) -> bool {
        let account = self.waiting[&turn].request.account.as_ref();
        account.is_some_and(|a| above.contains(a))
    }

    /// Whether a request would be late if the prompts were processed in the given order.
    fn is_any_late(&self, turns: &[TurnId], now: Millis) -> bool {
        let ready = self.ready_in(now).unwrap_or_default() + self.prefill_rate.overhead();
        let mut tokens = self.outstanding_tokens();
        turns.iter().any(|turn| {
            let waiting = &self.waiting[turn];
            tokens += u64::from(waiting.request.prompt_tokens);
            let first_event = ready + self.prefill_time(tokens);
            let is_behind = now.since(waiting.since) + first_event > waiting.request.objective_left;
            is_behind || self.is_late(waiting, now)
        })
    }

    /// Prompt tokens for which each account waits.
    fn waiting_tokens(&self) -> BTreeMap<&str, u64> {
        let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
        for waiting in self.waiting.values() {
            if let Some(account) = &waiting.request.account {
                *tokens.entry(account).or_default() += u64::from(waiting.request.prompt_tokens);
            }
        }
        tokens
    }

    /// Records the granted tokens of a request's account.
    pub(super) fn record_account(&mut self, account: Option<&str>, tokens: u32, now: Millis) {
        if let Some(account) = account
            && self.options.account_shares
        {
            self.shares.record_grant(account, u64::from(tokens), now);
        }
    }
}
