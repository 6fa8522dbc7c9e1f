//! Digest of a configuration, updated incrementally by item.
//!
//! Each item's canonical encoding is hashed by SHA-256, the hashes are summed mod 2^256, and the
//! sum is hashed again. A change thus costs as many hashes as it has items, not as many as the
//! configuration has. Alternatives considered:
//! - One SHA-256 over everything: 24,000 hashes per change.
//! - XOR of the hashes: an item added twice cancels out, and sets that cancel can be found by
//!   linear algebra.
//! - A Merkle tree: as cheap, and safe against an author who searches for collisions, but its inner
//!   nodes have to be stored.
//!
//! Of the sum, only one value is stored. With great effort, an author could build two sets of the
//! same sum. As anyone who may append to the log can set any configuration anyway, the digest only
//! guards against accidents and faults of the code.
//!
//! The canonical encoding is `MessagePack` with field names of one [`Item`], with ordered maps and
//! sets only. A new field in an item therefore changes digests, and needs a new format of records.

use std::fmt;

use pumicecleat_types::{Lora, encode};
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest as _, Sha256};

use crate::key::hex;
use crate::model::{Config, Item};

const DOMAIN_SEPARATOR: &[u8] = b"pumicecleat configuration 1";
const LIMB_COUNT: usize = 4;
const LIMB_BYTES: usize = 8;

/// SHA-256 digest.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Bytes")] [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex(&self.0))
    }
}

/// Computes the digest of a configuration.
#[must_use]
pub fn digest(config: &Config) -> Digest {
    Sum::of(config).digest()
}

/// Sum of items' hashes mod 2^256, least limb first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sum([u64; LIMB_COUNT]);

impl Sum {
    /// Sum over all items.
    pub(crate) fn of(config: &Config) -> Self {
        let mut sum = Self::default();
        for item in config.items() {
            sum.add(&item);
        }
        sum
    }

    /// Adds an item.
    pub(crate) fn add(&mut self, item: &Item) {
        let other = hash_limbs(item);
        let mut carry = false;
        for (a, b) in self.0.iter_mut().zip(other) {
            (*a, carry) = a.carrying_add(b, carry);
        }
    }

    /// Subtracts an item.
    pub(crate) fn sub(&mut self, item: &Item) {
        let other = hash_limbs(item);
        let mut borrow = false;
        for (a, b) in self.0.iter_mut().zip(other) {
            (*a, borrow) = a.borrowing_sub(b, borrow);
        }
    }

    /// Digest of the sum.
    pub(crate) fn digest(self) -> Digest {
        let mut hasher = Sha256::new();
        hasher.update(DOMAIN_SEPARATOR);
        for limb in self.0 {
            hasher.update(limb.to_le_bytes());
        }
        Digest(hasher.finalize().into())
    }
}

fn hash_limbs(item: &Item) -> [u64; LIMB_COUNT] {
    let hash: [u8; 32] = Sha256::digest(encode(item)).into();
    let mut limbs = [0; LIMB_COUNT];
    for (limb, chunk) in limbs.iter_mut().zip(hash.chunks_exact(LIMB_BYTES)) {
        *limb = first_u64(chunk);
    }
    limbs
}

fn first_u64(bytes: &[u8]) -> u64 {
    let mut out = [0; LIMB_BYTES];
    for (to, from) in out.iter_mut().zip(bytes) {
        *to = *from;
    }
    u64::from_le_bytes(out)
}

impl Config {
    /// Stamp of a version: hash of what identifies its weights (base, adapter, version, path).
    /// `None` if it is not declared with that base.
    #[must_use]
    pub fn stamp(&self, lora: &Lora) -> Option<u64> {
        let adapter = self.adapters.get(&lora.adapter)?;
        if adapter.base != lora.base {
            return None;
        }
        let version = adapter.versions.get(&lora.version)?;
        let hash = Sha256::digest(encode(&(lora, &version.path)));
        Some(first_u64(&hash))
    }
}
