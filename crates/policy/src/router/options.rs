//! Settings of the router.

use pumicecleat_types::Millis;

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterOptions {
    /// Seed of the random generator; differs between entries.
    pub seed: u64,
    /// Holders of an adapter that one decision compares.
    pub holder_candidates: usize,
    /// Homes of an adapter that one decision compares; the same at every entry.
    pub home_candidates: usize,
    /// Points of each upstream on the hash ring; the same at every entry.
    pub ring_points: u64,
    /// Expected time to load an adapter, until
    /// [`Router::set_load_time`](super::Router::set_load_time).
    pub load_time: Millis,
    /// Time by which a new copy of an adapter must beat the existing ones.
    pub copy_margin: Millis,
    /// Time by which a later home must beat an earlier one.
    pub home_margin: Millis,
    /// Time by which an upstream with an empty batch must beat one that is running requests, at a
    /// batch weight of 100%.
    pub idle_penalty: Millis,
    /// Prefill time that each cached token saves, microseconds.
    pub prefill_us: u64,
    /// Tokens credited to the affinity holder of a conversation, on top of those of its earlier
    /// turns; `None` turns prefix affinity off.
    pub affinity_tokens: Option<u32>,
    /// Typical run time of a request, used where a report doesn't tell.
    pub service_time: Millis,
    /// Age up to which this entry's sends may be missing from a report.
    pub report_lag: Millis,
    /// Age of the last report or answer above which an upstream is suspect.
    pub suspect_after: Millis,
    /// Age of the last report or answer above which an upstream is forgotten.
    pub forget_after: Millis,
    /// Time that a stalled upstream ranks behind its peers, doubled by each further stall without
    /// an answer in between; `None` turns demotion off.
    pub initial_demotion: Option<Millis>,
    /// Longest time that a stalled upstream ranks behind its peers.
    pub max_demotion: Millis,
    /// Whether, after a demotion, only one attempt at a time is sent until an answer begins.
    pub single_probe: bool,
    /// Time after which to retry where no upstream is usable; also the least one in any refusal.
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
