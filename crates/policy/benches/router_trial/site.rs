//! Sites, their faults and the results of a run.

use std::ops::Range;

/// Arrival times of the requests whose waits are counted, milliseconds.
pub const COUNTED_MS: Range<u64> = 40_000..100_000;

/// One freeze over all of that time, milliseconds.
pub const LONG_FREEZE_MS: [Range<u64>; 1] = [COUNTED_MS];

/// Four short freezes, milliseconds.
pub const SHORT_FREEZES_MS: [Range<u64>; 4] = [
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
    pub requests_per_second: f64,
    /// Time of one adapter load, milliseconds.
    pub load_ms: u64,
    /// Engines that freeze.
    pub frozen_engines: u32,
    /// Times of the freezes.
    pub freezes_ms: &'static [Range<u64>],
    /// Whether the sides of frozen engines go on reporting.
    pub frozen_report: bool,
}

/// Results of a run.
#[derive(Default)]
pub struct Tally {
    /// Attempts sent to a frozen engine.
    pub frozen_hits: u64,
    pub requests: u64,
    pub failed: u64,
    pub loads: u64,
    /// Waits for the first token of the counted requests, milliseconds.
    pub waits_ms: Vec<u64>,
}
