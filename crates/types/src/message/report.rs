//! What a side tells entries of itself. The entry's reply sets the pace.
//!
//! As they are many, reports and replies are written as rows, without the names of their fields. They
//! are read in both forms.

use serde::{Deserialize, Serialize, Serializer};

use crate::{DataCentre, PoolId, RegionId, VmId};

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFigures {
    /// Requests running at the upstream.
    pub running: u32,
    /// Requests waiting at the side.
    pub waiting: u32,
    /// Requests the upstream batches at most.
    pub batch: u32,
    /// Adapter slots.
    pub slots: u32,
    /// Slots whose adapter no request uses.
    pub spare: u32,
    /// Recent time of an engine step, microseconds.
    pub step_us: u32,
    /// Expected wait in the queue, milliseconds.
    pub wait_ms: u32,
}

/// Side to entry.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// VM of the side.
    pub vm: VmId,
    /// Start of this side process; a later one replaces an earlier.
    pub incarnation: u64,
    /// Number of this report in the incarnation.
    pub seq: u64,
    /// Address of the side's peer listener.
    pub address: String,
    /// Pool it serves.
    pub pool: PoolId,
    /// Data centre.
    pub centre: DataCentre,
    /// Region.
    pub region: RegionId,
    /// Takes no new work.
    pub leaving: bool,
    /// Upstream answers.
    pub healthy: bool,
    /// Load.
    pub load: LoadFigures,
    /// Engine names resident, or `None` if unchanged since the last report to this entry.
    pub resident: Option<Vec<String>>,
    /// Engine name being loaded.
    pub loading: Option<String>,
    /// Revision of the configuration in force here.
    pub revision: u64,
}

/// Entry to side.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ReportReply {
    /// When the next report is due, milliseconds.
    pub next_ms: u64,
    /// Revision in force at the entry.
    pub revision: u64,
    /// The next report must be whole: the entry lacks what `None` would refer to.
    pub whole: bool,
}

impl Serialize for Report {
    /// Writes the fields in their order.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (
            &self.vm,
            self.incarnation,
            self.seq,
            &self.address,
            &self.pool,
            &self.centre,
            &self.region,
            self.leaving,
            self.healthy,
            self.load.row(),
            &self.resident,
            &self.loading,
            self.revision,
        );
        row.serialize(serializer)
    }
}

impl Serialize for ReportReply {
    /// Writes the fields in their order.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.next_ms, self.revision, self.whole).serialize(serializer)
    }
}

impl LoadFigures {
    /// Fields in their order.
    fn row(self) -> [u32; 7] {
        [
            self.running,
            self.waiting,
            self.batch,
            self.slots,
            self.spare,
            self.step_us,
            self.wait_ms,
        ]
    }
}
