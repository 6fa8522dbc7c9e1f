//! Tokens granted to each account, with exponential decay and bounded memory.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use super::to_float;

/// Time in which what was granted loses half its weight: a few times the longest wait for a turn, so that
/// requests of one queue are compared with each other.
const HALF_LIFE_S: f64 = 4.0;

/// Maximum number of accounts; the least recently used one is evicted.
const MAX_ACCOUNTS: usize = 4_096;

/// Amount below which usage counts as none, tokens.
const MIN_TOKENS: f64 = 0.5;

/// Decayed amount, as of a point in time.
#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens: f64,
    updated_at: Millis,
}

impl Usage {
    fn tokens_at(self, now: Millis) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs() / HALF_LIFE_S;
        self.tokens * (-half_lives).exp2()
    }
}

/// Usage of accounts by name.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageTable {
    usage: BTreeMap<String, Usage>,
}

impl UsageTable {
    /// Adds tokens granted to an account.
    pub(super) fn add(&mut self, account: &str, tokens: u64, now: Millis) {
        if !self.usage.contains_key(account) {
            self.make_room(now);
        }
        let usage = self.usage.entry(account.to_owned()).or_insert(Usage {
            tokens: 0.0,
            updated_at: now,
        });
        *usage = Usage {
            tokens: usage.tokens_at(now) + to_float(tokens),
            updated_at: now.max(usage.updated_at),
        };
    }

    /// Evicts accounts without usage, and the least recently used one if there is still no room.
    fn make_room(&mut self, now: Millis) {
        if self.usage.len() < MAX_ACCOUNTS {
            return;
        }
        self.usage.retain(|_, u| u.tokens_at(now) >= MIN_TOKENS);
        if self.usage.len() < MAX_ACCOUNTS {
            return;
        }
        let oldest = self.usage.iter().min_by_key(|(_, u)| u.updated_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.usage.remove(&name);
        }
    }

    /// Accounts with usage, and how much.
    pub(super) fn granted(&self, now: Millis) -> BTreeMap<&str, f64> {
        let usage = self.usage.iter().map(|(name, u)| (name, u.tokens_at(now)));
        let used = usage.filter(|(_, tokens)| *tokens >= MIN_TOKENS);
        used.map(|(name, tokens)| (name.as_str(), tokens)).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.usage.len()
    }
}
