//! Sites, their faults, and what a run of one counts.

use std::ops::Range;

/// Time of requests whose waits count, milliseconds.
pub const COUNTED: Range<u64> = 40_000..100_000;

/// A freeze of most of that time, milliseconds.
pub const LONG: [Range<u64>; 1] = [COUNTED];

/// Four short freezes, milliseconds.
pub const SHORT: [Range<u64>; 4] = [
    40_000..43_000,
    55_000..58_000,
    70_000..73_000,
    85_000..88_000,
];

/// Site and fault of a run.
#[derive(Clone, Copy)]
pub struct Site {
    pub name: &'static str,
    pub entries: usize,
    pub engines: u32,
    pub loras: u32,
    /// Requests a second, over all entries.
    pub rate: f64,
    /// Time of one load, milliseconds.
    pub load: u64,
    /// Engines that freeze.
    pub frozen: u32,
    /// Times of the freezes.
    pub freezes: &'static [Range<u64>],
    /// Frozen engines' sides go on reporting.
    pub reports: bool,
}

/// Result of a run.
#[derive(Default)]
pub struct Tally {
    /// Attempts sent to a frozen engine.
    pub hits: u64,
    pub requests: u64,
    pub failed: u64,
    pub loads: u64,
    /// Waits for the first token in the time that counts, milliseconds.
    pub waits: Vec<u64>,
}
