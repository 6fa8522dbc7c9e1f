//! What the HTTP clients share: peers of one service, whole JSON answers, faults.

mod exchange;
mod fault;
mod name;
mod peers;

pub(crate) use exchange::Exchange;
pub use fault::Fault;
pub(crate) use name::{check_name, check_path};
pub use peers::Peers;
