//! What took effect, by path and key.

use std::collections::BTreeMap;

use serde::Serialize;

/// What an effect is counted by.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Cause {
    path: String,
    key: String,
}

/// Effects so far.
#[derive(Default)]
pub(crate) struct Effects(BTreeMap<Cause, u64>);

/// Effects of one path and key.
#[derive(Serialize)]
pub(crate) struct Effect<'a> {
    /// Path without its query.
    pub(crate) path: &'a str,
    /// Idempotency key, else request id, else nothing.
    pub(crate) key: &'a str,
    /// Times it took effect.
    pub(crate) count: u64,
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
    pub(crate) fn list(&self) -> Vec<Effect<'_>> {
        self.0
            .iter()
            .map(|(cause, count)| Effect {
                path: &cause.path,
                key: &cause.key,
                count: *count,
            })
            .collect()
    }
}
