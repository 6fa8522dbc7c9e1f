//! Hash keys of names. Unlike indices, which each entry assigns itself, keys are the same at every
//! entry.

use pumicecleat_types::{Lora, PoolId, VmId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Separates the fields of a hashed name; no id contains it.
const SEPARATOR: char = '\u{1f}';

/// Key of an upstream, from the id of its VM.
#[must_use]
pub fn upstream_key(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}

/// Key of one version of one adapter on its base model.
#[must_use]
pub fn lora_key(lora: &Lora) -> u64 {
    let name = format!(
        "{}{SEPARATOR}{}{SEPARATOR}{}",
        lora.base, lora.adapter, lora.version
    );
    xxh3_64(name.as_bytes())
}

/// Key of one part of the idempotency keys of a pool.
#[must_use]
pub fn part_key(pool: &PoolId, part: u32) -> u64 {
    xxh3_64(format!("{pool}{SEPARATOR}{part}").as_bytes())
}

/// Fallback key of an index that has no key of its own.
pub(super) fn index_key(ix: u32) -> u64 {
    xxh3_64(&ix.to_le_bytes())
}

/// Hash of a key with seed `n`.
pub(super) fn seeded_hash(key: u64, n: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), n)
}

/// Key of a name; the same in every process.
#[must_use]
pub fn name_key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
