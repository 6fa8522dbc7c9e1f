//! The platform's list of VMs, as this system reads it.

use serde::{Deserialize, Serialize};

use crate::{DataCentre, PoolId, RegionId, VmId};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry.
    Entry,
    /// An upstream with its side.
    Upstream,
}

/// State by the platform's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to go.
    Leaving,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// VM.
    pub vm: VmId,
    /// Role.
    pub role: VmRole,
    /// State.
    pub state: VmState,
    /// Address of the peer listener of the process there.
    pub address: String,
    /// Data centre.
    pub centre: DataCentre,
    /// Region.
    pub region: RegionId,
    /// Pool, for an upstream.
    pub pool: Option<PoolId>,
}
