//! Bearer keys: kept as SHA-256 only, found by an index, compared in constant time.
//!
//! The index is ordered by the first eight bytes of the digest. How long a lookup takes may tell
//! something of those bytes, which tells nothing of a key: digests of guesses can't be steered.
//! What the index finds is compared in constant time.

use std::collections::BTreeMap;

use pumicecleat_types::CallerId;
use sha2::{Digest as _, Sha256};
use subtle::{Choice, ConstantTimeEq};

use crate::model::{Caller, Config};

/// Characters of a SHA-256 in hex.
pub(crate) const HASH_LEN: usize = 64;

const PREFIX: usize = 16;

/// SHA-256 of a bearer key, lower-case hex.
#[must_use]
pub fn hash_key(bearer: &str) -> String {
    hex(&Sha256::digest(bearer.as_bytes()))
}

/// Lower-case hex.
pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

/// Callers by the hash of their keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    buckets: BTreeMap<String, Vec<(String, CallerId)>>,
}

impl KeyIndex {
    /// Index of a configuration's callers.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut index = Self::default();
        for (id, caller) in &config.callers {
            index.insert(id, caller);
        }
        index
    }

    /// Adds a caller's keys.
    pub fn insert(&mut self, id: &CallerId, caller: &Caller) {
        for hash in &caller.keys {
            let bucket = self.buckets.entry(prefix(hash).to_owned()).or_default();
            bucket.push((hash.clone(), id.clone()));
        }
    }

    /// Takes a caller's keys out.
    pub fn remove(&mut self, id: &CallerId, caller: &Caller) {
        for hash in &caller.keys {
            let Some(bucket) = self.buckets.get_mut(prefix(hash)) else {
                continue;
            };
            bucket.retain(|(h, owner)| h != hash || owner != id);
            if bucket.is_empty() {
                self.buckets.remove(prefix(hash));
            }
        }
    }

    /// Caller that holds a bearer key.
    #[must_use]
    pub fn caller(&self, bearer: &str) -> Option<&CallerId> {
        let hash = hash_key(bearer);
        let bucket = self.buckets.get(prefix(&hash))?;
        bucket.iter().fold(None, |found, (known, id)| {
            if bool::from(same(known, &hash)) {
                Some(id)
            } else {
                found
            }
        })
    }
}

impl Config {
    /// Caller that holds a bearer key, by comparing all keys; [`KeyIndex`] is for many lookups.
    #[must_use]
    pub fn caller_by_key(&self, bearer: &str) -> Option<&CallerId> {
        let hash = hash_key(bearer);
        let mut found = None;
        for (id, caller) in &self.callers {
            let held = caller
                .keys
                .iter()
                .fold(Choice::from(0), |held, known| held | same(known, &hash));
            if bool::from(held) {
                found = Some(id);
            }
        }
        found
    }
}

fn same(a: &str, b: &str) -> Choice {
    a.as_bytes().ct_eq(b.as_bytes())
}

fn prefix(hash: &str) -> &str {
    hash.get(..PREFIX).unwrap_or(hash)
}
