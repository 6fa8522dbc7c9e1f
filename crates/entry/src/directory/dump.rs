//! The directory for people.

use pumicecleat_types::{DataCentre, LoadFigures, Millis, PoolId, VmId};
use serde::{Deserialize, Serialize};

use super::Directory;

/// A side as this entry sees it.
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
    /// Start of the process.
    pub incarnation: u64,
    /// Takes no new work.
    pub leaving: bool,
    /// Upstream answers.
    pub healthy: bool,
    /// Load by its last report.
    pub load: LoadFigures,
    /// Engine names resident.
    pub resident: Vec<String>,
    /// Engine name being loaded.
    pub loading: Option<String>,
    /// Revision of the configuration there.
    pub revision: u64,
    /// Time since its last report, milliseconds.
    pub age_ms: u64,
}

impl Directory {
    /// Sides for people, by VM.
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
                loading: side.loading.map(|l| self.names.engine(l).to_owned()),
                revision: side.revision,
                age_ms: now.since(side.seen).0,
            })
            .collect()
    }

    fn engine_names(&self, loras: &[pumicecleat_policy::LoraIx]) -> Vec<String> {
        let names = loras.iter().map(|l| self.names.engine(*l).to_owned());
        names.collect()
    }
}
