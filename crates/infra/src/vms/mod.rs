//! VM list: which VMs are live and leaving, by the platform's word, seconds late.

mod http;

use std::rc::Rc;

use pumicecleat_types::VmEntry;
use snafu::Snafu;

use crate::{Local, RequestError};
pub use http::HttpVms;

/// The list at one time.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct VmList {
    /// VMs.
    pub vms: Vec<VmEntry>,
    /// Version; rises with each change.
    pub version: u64,
}

/// The list could not be had.
#[derive(Debug, Snafu)]
#[snafu(display("VM list: {source}"))]
pub struct VmsError {
    /// Cause, with step and peer.
    pub source: RequestError,
}

impl From<RequestError> for VmsError {
    fn from(source: RequestError) -> Self {
        Self { source }
    }
}

/// The platform's VM list.
pub trait Vms {
    /// VMs of `region`, or of all.
    ///
    /// # Errors
    /// [`VmsError`] if there is no usable answer.
    fn list<'a>(&'a self, region: Option<&'a str>) -> Local<'a, Result<Rc<VmList>, VmsError>>;
}
