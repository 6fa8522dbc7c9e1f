//! Keys: hashes of names, the same at every entry, where indices are each entry's own.

use pumicecleat_types::{Lora, PoolId, VmId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Separates the parts of a hashed name; no id contains it.
const PART: char = '\u{1f}';

/// Key of an upstream, from its VM.
#[must_use]
pub fn upstream_key(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}

/// Key of one version of one adapter on its base model.
#[must_use]
pub fn lora_key(lora: &Lora) -> u64 {
    let name = format!("{}{PART}{}{PART}{}", lora.base, lora.adapter, lora.version);
    xxh3_64(name.as_bytes())
}

/// Key of one part of the idempotency keys of a pool.
#[must_use]
pub fn part_key(pool: &PoolId, part: u32) -> u64 {
    xxh3_64(format!("{pool}{PART}{part}").as_bytes())
}

/// Key of an index that was not named.
pub(super) fn index_key(ix: u32) -> u64 {
    xxh3_64(&ix.to_le_bytes())
}

/// Point number `n` of a key.
pub(super) fn point(key: u64, n: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), n)
}

/// Key of a name, the same at every process.
#[must_use]
pub fn name_key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
