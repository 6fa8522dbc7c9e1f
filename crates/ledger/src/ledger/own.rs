//! This side's own attempts, from claim to outcome.
//!
//! An attempt that isn't listed is void: it was never sent or has its outcome. An intent of this
//! incarnation that turns up in the stream unlisted is abandoned at once.

use pumicecleat_types::Millis;

use crate::{Digest, Key};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Its intent hasn't been read back.
    Waiting,
    /// It may be sent.
    Won,
    /// It was sent.
    Sent,
}

/// Own attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Own {
    pub(super) key: Key,
    pub(super) digest: Digest,
    pub(super) deadline: Millis,
    pub(super) phase: Phase,
}
