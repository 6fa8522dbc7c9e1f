//! Limits of what may be declared.

use std::ops::RangeInclusive;

/// Characters of an id at most.
pub(super) const ID_LEN: usize = 128;
/// Characters of a path in the weight store, or of a route's prefix, at most.
pub(super) const PATH_LEN: usize = 1024;
/// Context of a base model, tokens.
pub(super) const CONTEXT: RangeInclusive<u64> = 1..=16_777_216;
/// Adapter slots of an engine.
pub(super) const SLOTS: RangeInclusive<u64> = 1..=4096;
/// Requests in a batch, or calls at once.
pub(super) const BATCH: RangeInclusive<u64> = 1..=65_536;
/// Requests waiting at a side.
pub(super) const QUEUE: RangeInclusive<u64> = 1..=1_048_576;
/// Parts of a service's keys.
pub(super) const PARTS: RangeInclusive<u64> = 1..=1_024;
/// Claim on capacity.
pub(super) const CLAIM: RangeInclusive<u64> = 1..=1_000_000;
/// Weight of a measure, percent.
pub(super) const WEIGHT: RangeInclusive<u64> = 0..=100;
/// Hold for a fuller batch, milliseconds.
pub(super) const HOLD: RangeInclusive<u64> = 0..=10_000;
/// Deadlines, milliseconds.
pub(super) const DEADLINE: RangeInclusive<u64> = 1..=3_600_000;
/// Body of a request, bytes.
pub(super) const BODY: RangeInclusive<u64> = 1..=67_108_864;
/// Window of keys, seconds.
pub(super) const WINDOW: RangeInclusive<u64> = 60..=604_800;
