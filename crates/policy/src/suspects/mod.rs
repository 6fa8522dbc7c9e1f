//! Detection of requests that terminate upstreams.
//!
//! A request may terminate every upstream that starts to run it, and its caller sends it again. Many other
//! requests are in progress at an upstream when it ends, and upstreams also end for other reasons. Each request
//! that was in progress is therefore suspected of having caused the end until it has been served: a request that
//! is served did not cause any earlier end.
//!
//! - With fewer than two ends ([`min_ends`]), a request is sent like any other.
//! - From then on it needs permission ([`Trials`]): it is sent once together with other suspects and, if the
//!   upstream ends, once to an upstream that runs no other suspect. A request that is served is no longer
//!   suspected. A request that was the only suspect at an upstream that ended is the cause, and is refused.
//!
//! Requests that are all different may have the part of their prompts in common that terminates upstreams. Such a
//! part is a suspect as well, whatever else the requests hold:
//!
//! - It is suspected of an end if a request with it had not begun to be answered, or had just begun.
//! - A request with it that is answered beyond that clears it, so parts that many requests share are cleared within
//!   the time of an answer.
//! - A single request that comes again and again counts once, as it is suspected itself.
//! - Its trials are exclusive. Upstreams that end in two of them show that the part is the cause; an end does not
//!   count if others end at the same time. What ran beside the cause is no longer suspected of these ends.
//! - Suspected parts that come together are tried together, and then requests with all of them are refused. A request
//!   with some of them gets a trial, one at a time, and clears those if it is served. The part that remains is the
//!   cause.
//!
//! Each process has a [`SuspectTable`] and sends its changes to others ([`SuspectSync`]). Tables are merged by
//! union, and a cleared end stays cleared, so the order of messages does not matter.

mod attempt;
mod cause;
mod end_times;
mod suspect;
mod sync;
mod table;
mod trials;

use pumicecleat_types::SuspectKind;

pub use attempt::{LostAttempt, PROVING_TIME, SeveralSuspects};
pub use sync::{OutgoingNews, SuspectSync};
pub use table::{SuspectTable, end_key};
pub use trials::Trials;

/// Number of ends from which a suspect needs permission. Nearly all requests with a single end are harmless; few
/// of those with two are. Parts of prompts are shared by many requests, and in progress at more ends.
#[must_use]
pub fn min_ends(kind: SuspectKind) -> usize {
    match kind {
        SuspectKind::Request => 2,
        SuspectKind::PromptPart => 3,
    }
}

/// Number of trials without another suspect in which an upstream must end before the suspect counts as the cause. A part
/// that many requests share must not be refused because one upstream ended by itself.
fn min_failed_trials(kind: SuspectKind) -> usize {
    match kind {
        SuspectKind::Request => 1,
        SuspectKind::PromptPart => 2,
    }
}
