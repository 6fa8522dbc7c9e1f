//! Records of a service's stream. One append holds a batch of them.

mod outcome;

use std::fmt;

use pumicecleat_types::{CodecError, Millis, VmId, decode, encode};
use serde::{Deserialize, Serialize};

pub use outcome::{Body, Outcome, RecordedResponse};

use crate::{Digest, Key};

/// One start of the side on a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// VM of the side.
    pub vm: VmId,
    /// Number of the start, never reused on a VM.
    pub incarnation: u64,
}

impl Owner {
    /// Whether `other` is another incarnation on the same VM.
    pub(crate) fn is_other_incarnation(&self, other: &Self) -> bool {
        self.vm == other.vm && self.incarnation != other.incarnation
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}

/// Identifies one attempt at a call, uniquely in the stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Side that made the attempt.
    pub owner: Owner,
    /// Sequence number within the owner's incarnation.
    pub seq: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.owner, self.seq)
    }
}

/// Record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The owner will send the call if this is the key's first live intent.
    Intent(Intent),
    /// The owner has not sent this attempt and never will.
    Abandon(Abandon),
    /// The owner sent this attempt, with this outcome.
    Done(Done),
}

/// Claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Attempt.
    pub attempt: Attempt,
    /// Idempotency key.
    pub key: Key,
    /// Digest of the request.
    pub digest: Digest,
    /// Latest time at which it may be sent, milliseconds since 1970 by the owner's clock.
    pub deadline: Millis,
}

/// End of an attempt that was not sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Abandon {
    /// Attempt.
    pub attempt: Attempt,
    /// Idempotency key.
    pub key: Key,
}

/// End of an attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Done {
    /// Attempt.
    pub attempt: Attempt,
    /// Idempotency key.
    pub key: Key,
    /// Digest of the request.
    pub digest: Digest,
    /// Outcome.
    pub outcome: Outcome,
}

impl Record {
    /// Attempt that the record belongs to.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        match self {
            Self::Intent(intent) => &intent.attempt,
            Self::Abandon(abandon) => &abandon.attempt,
            Self::Done(done) => &done.attempt,
        }
    }

    /// Encodes `records`, in this order, as the data of one append.
    #[must_use]
    pub fn encode_batch(records: &[Self]) -> Vec<u8> {
        encode(&records)
    }

    /// Decodes the records of one append.
    ///
    /// # Errors
    /// [`CodecError`] if `bytes` is not a batch of records.
    pub fn decode_batch(bytes: &[u8]) -> Result<Vec<Self>, CodecError> {
        decode(bytes)
    }
}
