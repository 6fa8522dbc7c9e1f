//! Weight store: every path exists unless a fault says otherwise; loads at once slow each other.

mod faults;
mod handler;
mod share;

pub use faults::StoreFaults;
pub use handler::{Store, StoreOptions};
