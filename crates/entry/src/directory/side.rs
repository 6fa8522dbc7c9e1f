//! What is known of one side.

use pumicecleat_policy::{LoraIx, PoolIx, UpstreamIx};
use pumicecleat_types::{DataCentre, LoadFigures, Millis, PoolId};

/// What is known of one side.
#[derive(Clone, Debug)]
pub(super) struct Side {
    pub(super) up: UpstreamIx,
    pub(super) address: String,
    pub(super) incarnation: u64,
    pub(super) seq: u64,
    pub(super) pool: PoolId,
    pub(super) pool_ix: PoolIx,
    pub(super) centre: DataCentre,
    pub(super) leaving: bool,
    pub(super) healthy: bool,
    pub(super) load: LoadFigures,
    /// Adapters resident, once told.
    pub(super) resident: Option<Vec<LoraIx>>,
    pub(super) loading: Option<LoraIx>,
    pub(super) revision: u64,
    pub(super) seen: Millis,
    /// Time until its next report, as told.
    pub(super) next: Millis,
    pub(super) silent: bool,
}
