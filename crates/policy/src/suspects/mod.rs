//! Detection of requests that terminate upstreams.
//!
//! A request may terminate every upstream that starts to run it, and its caller sends it again. Many other
//! requests are in progress at an upstream when it ends, and upstreams also end for other reasons. Each request
//! that was in progress is therefore suspected of having caused the end until it has been served: a request that
//! is served did not cause any earlier end.
//!
//! - With fewer than [`TRIAL_MIN_ENDS`] ends, a request is sent like any other.
//! - From then on it needs permission ([`Trials`]): it is sent once together with other suspects and, if the
//!   upstream ends, once to an upstream that runs no other suspect. A request that is served is no longer
//!   suspected. A request that was the only suspect at an upstream that ended is the cause, and is refused.
//!
//! Each process has a [`SuspectTable`] and sends its changes to others ([`SuspectSync`]). Tables are merged by
//! union, and a cleared end stays cleared, so the order of messages does not matter.

mod suspect;
mod sync;
mod table;
mod trials;

pub use sync::{OutgoingNews, SuspectSync};
pub use table::{SuspectTable, end_key};
pub use trials::Trials;

/// Number of ends from which a request needs permission. Nearly all requests with a single end are harmless;
/// few of those with two are.
pub const TRIAL_MIN_ENDS: usize = 2;
