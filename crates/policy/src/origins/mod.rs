//! Where streams began, so that their callers can take them up at any gateway.
//!
//! The gateway that forwards the first event of a stream keeps the engine's software version under the id of the
//! request, and gives copies to a few agents. [`keepers`] selects a set of agents that is the same at all
//! gateways but for agents that have just come or gone, and [`keepers_of`] ranks them for one request. A gateway
//! that is asked to go on with a stream asks more of them than have copies, so that some may be gone or new.

mod keepers;
mod table;

pub use keepers::{COPIES, LOOKUPS, keepers, keepers_of};
pub use table::OriginTable;
