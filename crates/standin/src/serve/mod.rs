//! What all stand-ins share: the server before them, their faults, replies that go wrong.

mod change;
mod front;
mod reply;
mod running;

pub(crate) use change::Change;
pub(crate) use front::{Call, FaultCell, Part, Refusal, Work};
pub(crate) use reply::{broken, broken_body, cut, error, not_found, retry_later};
pub(crate) use running::start;
pub use running::{Running, StandinError};
