//! Entries of the platform's list of VMs, in the form that this system uses.

use serde::{Deserialize, Serialize};

use crate::{DataCentre, PoolId, RegionId, VmId};

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry.
    Entry,
    /// An upstream with its side.
    Upstream,
}

/// State of a VM, as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Id of the VM.
    pub vm: VmId,
    /// Role.
    pub role: VmRole,
    /// State.
    pub state: VmState,
    /// Address of the peer listener of the VM's process.
    pub address: String,
    /// Data centre.
    pub centre: DataCentre,
    /// Region.
    pub region: RegionId,
    /// Pool, if the VM is an upstream.
    pub pool: Option<PoolId>,
}
