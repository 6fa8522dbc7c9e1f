//! Bearer keys: stored as SHA-256 only, looked up in an index, compared in constant time.
//!
//! The index is ordered by the first eight bytes of the digest. Lookup time may leak something
//! about those bytes, but that reveals nothing about a key, as an attacker can't choose the digest
//! of a guess. Matches in the index are compared in constant time.

use std::collections::BTreeMap;

use pumicecleat_types::CallerId;
use sha2::{Digest as _, Sha256};
use subtle::{Choice, ConstantTimeEq};

use crate::model::{Caller, Config};

/// Length of a SHA-256 in hex.
pub(crate) const HASH_HEX_CHARS: usize = 64;

/// Hex digits of the hash that select a bucket, eight bytes.
const PREFIX_CHARS: usize = 16;

/// SHA-256 of a bearer key, lower-case hex.
#[must_use]
pub fn hash_key(bearer: &str) -> String {
    hex(&Sha256::digest(bearer.as_bytes()))
}

/// Encodes bytes as lower-case hex.
pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

/// Index of callers by the hashes of their keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    buckets: BTreeMap<String, Vec<(String, CallerId)>>,
}

impl KeyIndex {
    /// Builds the index of a configuration's callers.
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

    /// Removes a caller's keys.
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

    /// Returns the caller with this bearer key.
    #[must_use]
    pub fn caller(&self, bearer: &str) -> Option<&CallerId> {
        let hash = hash_key(bearer);
        let bucket = self.buckets.get(prefix(&hash))?;
        bucket.iter().fold(None, |found, (known, id)| {
            if bool::from(ct_eq_hash(known, &hash)) {
                Some(id)
            } else {
                found
            }
        })
    }
}

impl Config {
    /// Returns the caller with this bearer key, by comparing all keys. Use [`KeyIndex`] for
    /// repeated lookups.
    #[must_use]
    pub fn caller_by_key(&self, bearer: &str) -> Option<&CallerId> {
        let hash = hash_key(bearer);
        let mut found = None;
        for (id, caller) in &self.callers {
            let matches = caller.keys.iter().fold(Choice::from(0), |matches, known| {
                matches | ct_eq_hash(known, &hash)
            });
            if bool::from(matches) {
                found = Some(id);
            }
        }
        found
    }
}

fn ct_eq_hash(a: &str, b: &str) -> Choice {
    a.as_bytes().ct_eq(b.as_bytes())
}

fn prefix(hash: &str) -> &str {
    hash.get(..PREFIX_CHARS).unwrap_or(hash)
}
