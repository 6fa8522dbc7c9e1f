//! This side's own attempts, from claim to outcome.
//!
//! An attempt that is not listed was never sent or has its outcome. An intent of this incarnation
//! that is read from the stream but not listed is abandoned at once.

use pumicecleat_types::Millis;

use crate::{Digest, Key};

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Its intent has not been read back yet.
    Waiting,
    /// It may be sent.
    Won,
    /// It was sent.
    Sent,
}

/// Own attempt in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OwnAttempt {
    pub(super) key: Key,
    pub(super) digest: Digest,
    pub(super) deadline: Millis,
    pub(super) phase: Phase,
}
