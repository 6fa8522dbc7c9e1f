//! What the HTTP clients share: peers of one service, whole JSON answers, faults.

mod error;
mod exchange;
mod name;
mod peers;

pub use error::RequestError;
pub(crate) use exchange::Exchange;
pub(crate) use name::{check_name, check_path};
pub use peers::Peers;
