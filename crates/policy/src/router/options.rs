//! Settings of the router.

use pumicecleat_types::Millis;

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterOptions {
    /// Seed of its draws; differs between entries.
    pub seed: u64,
    /// Holders of an adapter that one choice looks at.
    pub holders: usize,
    /// Homes of an adapter that one choice looks at; the same at every entry.
    pub homes: usize,
    /// Points of each upstream on the hash ring; the same at every entry.
    pub points: u64,
    /// Expected time to load an adapter, until [`Router::set_load_time`](super::Router::set_load_time).
    pub load: Millis,
    /// Time by which a new copy must beat the copies there are.
    pub spread: Millis,
    /// Time by which a later home must beat an earlier one.
    pub slack: Millis,
    /// Time by which an upstream with company must beat an idle one, at a batch weight of 100%.
    pub pack: Millis,
    /// Prefill time that each cached token saves, microseconds.
    pub prefill_us: u64,
    /// Worth of the holder at which a conversation's turns meet, beside what earlier turns left
    /// there, tokens; `None` if they don't meet.
    pub first: Option<u32>,
    /// Typical run time of a request, where a report says nothing of it.
    pub service: Millis,
    /// Age up to which own sends may be missing from a report.
    pub lag: Millis,
    /// Age of a report from which on its upstream is suspect.
    pub suspect: Millis,
    /// Age of a report from which on its upstream is forgotten.
    pub forget: Millis,
    /// Time that a stalled upstream stays behind its peers, doubled by each further stall without an
    /// answer between; `None` to leave it in its place.
    pub demote: Option<Millis>,
    /// Longest time that a stalled upstream stays behind its peers.
    pub demote_most: Millis,
    /// After that time, one attempt at a time until an answer begins.
    pub probe: bool,
    /// When to come back where no upstream is usable.
    pub retry: Millis,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            seed: 0,
            holders: 2,
            homes: 4,
            points: 8,
            load: Millis(500),
            spread: Millis(250),
            slack: Millis(100),
            pack: Millis(800),
            prefill_us: 50,
            first: Some(200),
            service: Millis(2_000),
            lag: Millis(100),
            suspect: Millis(15_000),
            forget: Millis(120_000),
            demote: Some(Millis(2_000)),
            demote_most: Millis(16_000),
            probe: true,
            retry: Millis(1_000),
        }
    }
}
