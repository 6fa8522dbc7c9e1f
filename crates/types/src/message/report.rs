//! Status reports of sides to entries. The reply of the entry sets the time of the next report.
//!
//! Reports and replies are frequent, so they are encoded as rows, without field names. Decoding
//! accepts rows and maps with field names.

use serde::{Deserialize, Serialize, Serializer};

use crate::{DataCentre, PoolId, RegionId, VmId};

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFigures {
    /// Number of requests running at the upstream.
    pub running: u32,
    /// Number of requests waiting at the side.
    pub waiting: u32,
    /// Maximum batch size of the upstream, requests.
    #[serde(rename = "batch")]
    pub max_batch_size: u32,
    /// Number of adapter slots.
    pub slots: u32,
    /// Number of slots whose adapter no request uses.
    #[serde(rename = "spare")]
    pub spare_slots: u32,
    /// Recent duration of an engine step, microseconds.
    pub step_us: u32,
    /// Expected waiting time in the queue, milliseconds.
    pub wait_ms: u32,
}

/// Report of a side to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// VM of the side.
    pub vm: VmId,
    /// Incarnation of the side's process; a later one replaces an earlier one.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub seq: u64,
    /// Address of the side's peer listener.
    pub address: String,
    /// Pool that the side serves.
    pub pool: PoolId,
    /// Data centre.
    pub centre: DataCentre,
    /// Region.
    pub region: RegionId,
    /// Whether the side accepts no new requests because it is leaving.
    pub leaving: bool,
    /// Whether the upstream responds.
    pub healthy: bool,
    /// Load of the upstream.
    pub load: LoadFigures,
    /// Engine names of the resident adapters, or `None` if unchanged since the last report to this
    /// entry.
    pub resident: Option<Vec<String>>,
    /// Engine name of the adapter that is being loaded.
    pub loading: Option<String>,
    /// Revision of the configuration in force at the side.
    pub revision: u64,
}

/// Reply of an entry to a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ReportReply {
    /// Time until the next report is due, milliseconds.
    pub next_ms: u64,
    /// Revision of the configuration in force at the entry.
    pub revision: u64,
    /// Whether the next report must be complete, because the entry doesn't have the list of resident
    /// adapters that `None` would refer to.
    #[serde(rename = "whole")]
    pub needs_full_report: bool,
}

impl Serialize for Report {
    /// Writes the fields in the order of their declaration, without names.
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
    /// Writes the fields in the order of their declaration, without names.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.next_ms, self.revision, self.needs_full_report).serialize(serializer)
    }
}

impl LoadFigures {
    /// Fields in the order of their declaration.
    fn row(self) -> [u32; 7] {
        [
            self.running,
            self.waiting,
            self.max_batch_size,
            self.slots,
            self.spare_slots,
            self.step_us,
            self.wait_ms,
        ]
    }
}
