//! What took effect, by path and key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an effect is counted by.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Cause {
    path: String,
    key: String,
}

/// Effects so far.
#[derive(Default)]
pub(crate) struct Effects(BTreeMap<Cause, u64>);

/// Effects of one path and key, as `GET /effects` shows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEffect {
    /// Path without its query.
    pub path: String,
    /// Idempotency key, else request id, else nothing.
    pub key: String,
    /// Times it took effect.
    pub count: u64,
}

impl Effects {
    /// Counts one more and gives how many there are now.
    pub(crate) fn record(&mut self, path: &str, key: &str) -> u64 {
        let cause = Cause {
            path: path.into(),
            key: key.into(),
        };
        let count = self.0.entry(cause).or_default();
        *count += 1;
        *count
    }

    /// All, in order of path and key.
    pub(crate) fn list(&self) -> Vec<ServiceEffect> {
        let view = |(cause, count): (&Cause, &u64)| ServiceEffect {
            path: cause.path.clone(),
            key: cause.key.clone(),
            count: *count,
        };
        self.0.iter().map(view).collect()
    }
}
