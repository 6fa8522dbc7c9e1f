//! Entry of an upstream in the list of upstreams.

use std::net::SocketAddr;

use pumicecleat_types::{DataCentre, ServiceId, SoftwareVersion};

/// Entry of an upstream in the list; the list may lag behind the upstream's actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Instance name; an instance is one run of one upstream.
    pub instance: String,
    /// Service.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentre,
    /// Number of concurrent requests.
    pub slots: u32,
    /// Version of its software; empty if the entry has none.
    pub software: SoftwareVersion,
    /// Whether it accepts new requests.
    pub standing: Standing,
    /// Unix time of the upstream's start, ms, if the entry has it. An upstream may also restart under the
    /// same instance name; it then has lost its earlier state.
    pub born: Option<u64>,
    /// Sequence number of this entry among those of the same start, if the entry has it.
    pub sequence: Option<u64>,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Accepts new requests.
    #[default]
    Ready,
    /// Is shutting down and must not get new requests.
    Leaving,
}

impl Upstream {
    /// Whether this entry says the same as `earlier`. Upstreams rewrite their entries with rising sequence numbers.
    pub(crate) fn is_rewrite_of(&self, earlier: &Self) -> bool {
        let same_place = self.address == earlier.address && self.centre == earlier.centre;
        let same_service = self.service == earlier.service && self.slots == earlier.slots;
        let same_software = self.software == earlier.software;
        same_place && same_service && same_software && self.standing == earlier.standing
    }
}
