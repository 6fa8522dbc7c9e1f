//! Requests under which upstreams end.
//!
//! Some request ends each upstream that begins to run it, and its caller sends it again. Many others
//! run beside it when an upstream ends, and upstreams end for other reasons too. So each request that
//! was under way is held to have ended the upstream, until it has been served: a request that is served
//! was not the cause of any end before.
//!
//! - Below [`TRIAL_MIN_ENDS`] ends a request is sent like any other.
//! - From there on it needs permission ([`Trials`]): it is sent once beside other suspects, and if the upstream
//!   ends, once where no other suspect is. One that is served is free again; one under which an upstream ends
//!   though it is alone there is the cause, and is refused.
//!
//! Each process keeps [`SuspectTable`] and passes on what is new to it ([`SuspectSync`]). What they hold is
//! a union over all, in which a cleared end stays cleared, so that the order of words does not matter.

mod case;
mod links;
mod table;
mod trials;

pub use links::{OutgoingNews, SuspectSync};
pub use table::{SuspectTable, end_key};
pub use trials::Trials;

/// Ends from which a request needs permission. With a single end nearly all are harmless; with two few
/// are.
pub const TRIAL_MIN_ENDS: usize = 2;
