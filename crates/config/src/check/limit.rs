//! Ranges and maximum lengths of configuration values.

use std::ops::RangeInclusive;

/// Maximum length of an id.
pub(super) const MAX_ID_CHARS: usize = 128;
/// Maximum length of a path in the weight store or of a route's prefix.
pub(super) const MAX_PATH_CHARS: usize = 1024;
/// Context length of a base model.
pub(super) const CONTEXT_TOKENS: RangeInclusive<u64> = 1..=16_777_216;
/// Adapter slots of an engine.
pub(super) const ADAPTER_SLOTS: RangeInclusive<u64> = 1..=4096;
/// Requests in a batch, or concurrent calls.
pub(super) const CONCURRENT_REQUESTS: RangeInclusive<u64> = 1..=65_536;
/// Requests waiting at a side.
pub(super) const QUEUED_REQUESTS: RangeInclusive<u64> = 1..=1_048_576;
/// Parts of a service's idempotency keys.
pub(super) const KEY_PARTS: RangeInclusive<u64> = 1..=1_024;
/// A caller's weight in capacity sharing.
pub(super) const CAPACITY_CLAIM: RangeInclusive<u64> = 1..=1_000_000;
/// Weight of an objective.
pub(super) const WEIGHT_PERCENT: RangeInclusive<u64> = 0..=100;
/// Time that an engine is held for a fuller batch.
pub(super) const HOLD_MS: RangeInclusive<u64> = 0..=10_000;
/// Request deadlines.
pub(super) const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Request body.
pub(super) const BODY_BYTES: RangeInclusive<u64> = 1..=67_108_864;
/// Time that idempotency keys are remembered.
pub(super) const KEY_WINDOW_S: RangeInclusive<u64> = 60..=604_800;
