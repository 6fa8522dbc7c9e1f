//! VM list, whose changes show late.

mod faults;
mod handler;
mod history;

pub use faults::VmFaults;
pub use handler::{VmList, VmListOptions};
