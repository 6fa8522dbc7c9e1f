//! Records of a service's stream, many in one append.

mod outcome;

use std::fmt;

use pumicecleat_types::{CodecError, Millis, VmId, decode, encode};
use serde::{Deserialize, Serialize};

pub use outcome::{Body, Outcome, RecordedResponse};

use crate::{Digest, Key};

/// One start of the side on one VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// VM.
    pub vm: VmId,
    /// Start of the process, never used twice on one VM.
    pub incarnation: u64,
}

impl Owner {
    /// Whether `other` is another start on the same VM.
    pub(crate) fn is_kin(&self, other: &Self) -> bool {
        self.vm == other.vm && self.incarnation != other.incarnation
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}

/// One attempt at a call, unique in the stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Side that decides on it.
    pub owner: Owner,
    /// Number in the owner's incarnation.
    pub seq: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.owner, self.seq)
    }
}

/// Entry of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The owner means to send the call, if this intent is the key's first live one.
    Intent(Intent),
    /// The owner has not sent this attempt and never will.
    Abandon(Abandon),
    /// The owner sent this attempt, and this came of it.
    Done(Done),
}

/// Claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Attempt.
    pub attempt: Attempt,
    /// Key.
    pub key: Key,
    /// What is asked for.
    pub digest: Digest,
    /// When its caller stops waiting, milliseconds since 1970 by the owner's clock.
    pub deadline: Millis,
}

/// End of an attempt that did not run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Abandon {
    /// Attempt.
    pub attempt: Attempt,
    /// Key.
    pub key: Key,
}

/// End of an attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Done {
    /// Attempt.
    pub attempt: Attempt,
    /// Key.
    pub key: Key,
    /// What was asked for.
    pub digest: Digest,
    /// What came of it.
    pub outcome: Outcome,
}

impl Record {
    /// Attempt it is about.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        match self {
            Self::Intent(intent) => &intent.attempt,
            Self::Abandon(abandon) => &abandon.attempt,
            Self::Done(done) => &done.attempt,
        }
    }

    /// Bytes of one append, for these records in this order.
    #[must_use]
    pub fn encode_batch(records: &[Self]) -> Vec<u8> {
        encode(&records)
    }

    /// Records of one append.
    ///
    /// # Errors
    /// [`CodecError`] if `bytes` are not such a batch.
    pub fn decode_batch(bytes: &[u8]) -> Result<Vec<Self>, CodecError> {
        decode(bytes)
    }
}
