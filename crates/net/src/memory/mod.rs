//! Memory that a process holds for its callers, counted in one budget.
//!
//! Everything that is held for a caller has a [`Lease`]: a connection with its head, a request in progress with what
//! its sockets may hold, a body while it is read and until the last use of its bytes, a response until it is written.
//! The limits of one connection bound none of this together; the budget does.
//!
//! Small requests may use all of the budget, larger ones leave a part of it. When it is full, what waits for its caller
//! gives way: a lingering connection, a head, body or response that has not moved on for a while, the longest wait
//! first. If that makes no room, the request that asks is refused. A request that was read whole keeps its memory to
//! its end, because it may have been executed.

mod budget;
mod buffer;
mod counters;
mod limits;
mod waits;

pub(crate) use budget::CloseRequest;
pub use budget::{MemoryBudget, MemoryReading, NoRoom};
pub use buffer::Buffer;
pub use counters::{Cause, Lease};
pub use limits::MemoryLimits;
pub(crate) use waits::Wait;
