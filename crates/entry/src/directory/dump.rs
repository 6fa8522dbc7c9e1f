//! State of the directory, as shown to operators.

use pumicecleat_types::{DataCentre, LoadFigures, Millis, PoolId, VmId};
use serde::{Deserialize, Serialize};

use super::Directory;

/// State that this entry knows of a side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideDump {
    /// VM.
    pub vm: VmId,
    /// Address of its peer listener.
    pub address: String,
    /// Pool.
    pub pool: PoolId,
    /// Data centre.
    pub centre: DataCentre,
    /// Start of the side's process, a Unix time in milliseconds.
    pub incarnation: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether its upstream responds.
    pub healthy: bool,
    /// Load according to its last report.
    pub load: LoadFigures,
    /// Engine names of the resident adapters.
    pub resident: Vec<String>,
    /// Engine name of the adapter being loaded.
    pub loading: Option<String>,
    /// Revision of the configuration in force at the side.
    pub revision: u64,
    /// Time since its last report, in milliseconds.
    pub age_ms: u64,
}

impl Directory {
    /// State of the sides, in the order of their VMs.
    pub(crate) fn dump(&self, now: Millis) -> Vec<SideDump> {
        let sides = self.sides.iter();
        sides
            .map(|(vm, side)| SideDump {
                vm: vm.clone(),
                address: side.address.clone(),
                pool: side.pool.clone(),
                centre: side.centre.clone(),
                incarnation: side.incarnation,
                leaving: side.leaving || self.listed.is_leaving(vm),
                healthy: side.healthy,
                load: side.load,
                resident: self.engine_names(side.resident.as_deref().unwrap_or_default()),
                loading: side.loading.map(|l| self.names.engine_name(l).to_owned()),
                revision: side.revision,
                age_ms: now.since(side.last_report_at).0,
            })
            .collect()
    }

    fn engine_names(&self, loras: &[pumicecleat_policy::LoraIx]) -> Vec<String> {
        let names = loras.iter().map(|l| self.names.engine_name(*l).to_owned());
        names.collect()
    }
}
