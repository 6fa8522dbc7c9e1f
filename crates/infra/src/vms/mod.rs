//! VM list: the live and leaving VMs as reported by the platform, with a lag of seconds.

mod http;

use std::rc::Rc;

use pumicecleat_types::VmEntry;
use snafu::Snafu;

use crate::{Local, RequestError};
pub use http::HttpVms;

/// Snapshot of the list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct VmList {
    /// VMs.
    pub vms: Vec<VmEntry>,
    /// Version; increases with each change.
    pub version: u64,
}

/// Failed request for the VM list.
#[derive(Debug, Snafu)]
#[snafu(display("VM list: {source}"))]
pub struct VmsError {
    /// Cause, including the step and the peer.
    pub source: RequestError,
}

impl From<RequestError> for VmsError {
    fn from(source: RequestError) -> Self {
        Self { source }
    }
}

/// The platform's VM list.
pub trait Vms {
    /// VMs of `region`, or of all regions.
    ///
    /// # Errors
    /// [`VmsError`] if there is no usable response.
    fn list<'a>(&'a self, region: Option<&'a str>) -> Local<'a, Result<Rc<VmList>, VmsError>>;
}
