//! An upstream, as the list tells of it.

use std::net::SocketAddr;

use pumicecleat_types::{DataCentre, ServiceId};

/// An upstream, as the list tells of it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Instance: one start of one upstream.
    pub instance: String,
    /// Service.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentre,
    /// Requests at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub standing: Standing,
    /// Unix time of its start, ms, if it tells. An upstream may start again under its name; it then
    /// knows nothing of before.
    pub born: Option<u64>,
    /// Place of this entry among those of the same start, if it tells.
    pub sequence: Option<u64>,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Takes them.
    #[default]
    Ready,
    /// Is leaving and must get no more.
    Leaving,
}
