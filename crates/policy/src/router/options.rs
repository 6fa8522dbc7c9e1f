//! Settings of the router.

use pumicecleat_types::Millis;

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterOptions {
    /// Seed of its draws; differs between entries.
    pub seed: u64,
    /// Holders of an adapter that one choice looks at.
    pub holder_candidates: usize,
    /// Homes of an adapter that one choice looks at; the same at every entry.
    pub home_candidates: usize,
    /// Points of each upstream on the hash ring; the same at every entry.
    pub ring_points: u64,
    /// Expected time to load an adapter, until [`Router::set_load_time`](super::Router::set_load_time).
    pub load_time: Millis,
    /// Time by which a new copy must beat the copies there are.
    pub copy_margin: Millis,
    /// Time by which a later home must beat an earlier one.
    pub home_margin: Millis,
    /// Time by which an upstream with company must beat an idle one, at a batch weight of 100%.
    pub idle_penalty: Millis,
    /// Prefill time that each cached token saves, microseconds.
    pub prefill_us: u64,
    /// Worth of the holder at which a conversation's turns meet, beside what earlier turns left
    /// there, tokens; `None` if they don't meet.
    pub affinity_tokens: Option<u32>,
    /// Typical run time of a request, where a report says nothing of it.
    pub service_time: Millis,
    /// Age up to which own sends may be missing from a report.
    pub report_lag: Millis,
    /// Age of a report from which on its upstream is suspect.
    pub suspect_after: Millis,
    /// Age of a report from which on its upstream is forgotten.
    pub forget_after: Millis,
    /// Time that a stalled upstream stays behind its peers, doubled by each further stall without an
    /// answer between; `None` to leave it in its place.
    pub initial_demotion: Option<Millis>,
    /// Longest time that a stalled upstream stays behind its peers.
    pub max_demotion: Millis,
    /// After that time, one attempt at a time until an answer begins.
    pub single_probe: bool,
    /// When to come back where no upstream is usable.
    pub retry_after: Millis,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            seed: 0,
            holder_candidates: 2,
            home_candidates: 4,
            ring_points: 8,
            load_time: Millis(500),
            copy_margin: Millis(250),
            home_margin: Millis(100),
            idle_penalty: Millis(800),
            prefill_us: 50,
            affinity_tokens: Some(200),
            service_time: Millis(2_000),
            report_lag: Millis(100),
            suspect_after: Millis(15_000),
            forget_after: Millis(120_000),
            initial_demotion: Some(Millis(2_000)),
            max_demotion: Millis(16_000),
            single_probe: true,
            retry_after: Millis(1_000),
        }
    }
}
