//! Digest of a configuration, kept up to date item by item.
//!
//! Each item's canonical encoding is hashed by SHA-256, the hashes are summed mod 2^256, and the
//! sum is hashed again. A change thus costs as many hashes as it has items, not as many as the
//! configuration has. Ways weighed:
//! - One SHA-256 over everything: 24,000 hashes a change.
//! - XOR of the hashes: an item put in twice cancels out, and sets that cancel are found by linear
//!   algebra.
//! - A tree of hashes: as cheap, and safe against an author who searches for collisions, but with
//!   inner nodes to keep.
//! - The sum: one value to keep. An author with great effort could build two sets of the same sum;
//!   who may append to the log can set any configuration anyway, so the digest guards against
//!   accidents and faults of the code, not against them.
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

const DOMAIN: &[u8] = b"pumicecleat configuration 1";
const LIMBS: usize = 4;
const LIMB: usize = 8;

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

/// Digest of a configuration.
#[must_use]
pub fn digest(config: &Config) -> Digest {
    Sum::of(config).digest()
}

/// Sum of items' hashes mod 2^256, least limb first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sum([u64; LIMBS]);

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
        let other = limbs(item);
        let mut carry = false;
        for (a, b) in self.0.iter_mut().zip(other) {
            (*a, carry) = a.carrying_add(b, carry);
        }
    }

    /// Takes an item off.
    pub(crate) fn sub(&mut self, item: &Item) {
        let other = limbs(item);
        let mut borrow = false;
        for (a, b) in self.0.iter_mut().zip(other) {
            (*a, borrow) = a.borrowing_sub(b, borrow);
        }
    }

    /// Digest of the sum.
    pub(crate) fn digest(self) -> Digest {
        let mut hasher = Sha256::new();
        hasher.update(DOMAIN);
        for limb in self.0 {
            hasher.update(limb.to_le_bytes());
        }
        Digest(hasher.finalize().into())
    }
}

fn limbs(item: &Item) -> [u64; LIMBS] {
    let hash: [u8; 32] = Sha256::digest(encode(item)).into();
    let mut limbs = [0; LIMBS];
    for (limb, chunk) in limbs.iter_mut().zip(hash.chunks_exact(LIMB)) {
        *limb = first_u64(chunk);
    }
    limbs
}

fn first_u64(bytes: &[u8]) -> u64 {
    let mut out = [0; LIMB];
    for (to, from) in out.iter_mut().zip(bytes) {
        *to = *from;
    }
    u64::from_le_bytes(out)
}

impl Config {
    /// Stamp of a version: digest of what makes it run (base, adapter, version, path). `None` if
    /// it is not declared so.
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
