//! State known of one side.

use pumicecleat_policy::{LoraIx, PoolIx, UpstreamIx};
use pumicecleat_types::{DataCentre, LoadFigures, Millis, PoolId};

/// State known of one side.
#[derive(Clone, Debug)]
pub(super) struct Side {
    pub(super) up: UpstreamIx,
    pub(super) address: String,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) pool: PoolId,
    pub(super) pool_ix: PoolIx,
    pub(super) centre: DataCentre,
    pub(super) leaving: bool,
    pub(super) healthy: bool,
    pub(super) load: LoadFigures,
    /// Resident adapters; `None` until a report lists them.
    pub(super) resident: Option<Vec<LoraIx>>,
    pub(super) loading: Option<LoraIx>,
    pub(super) revision: u64,
    pub(super) last_report_at: Millis,
    /// Interval until its next report, as sent in the last reply.
    pub(super) report_interval: Millis,
    pub(super) silent: bool,
}
