//! Outcomes of attempts that were sent.

use std::hash::{Hash, Hasher};

use pumicecleat_types::HeaderField;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::Digest;

/// Outcome of an attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's complete response.
    #[serde(rename = "Answer")]
    Response(RecordedResponse),
    /// The response was lost: the call may have run.
    Unknown,
}

/// Response of the upstream, as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Body,
}

/// Recorded body.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// The complete body.
    #[serde(rename = "Whole")]
    Complete(#[serde_as(as = "Bytes")] Vec<u8>),
    /// Digest of a body that is too large to keep.
    Large {
        /// Digest of the body.
        digest: Digest,
        /// Length of the body in bytes.
        bytes: u64,
    },
}

impl RecordedResponse {
    /// Creates the response to record. Of a body longer than `limit` bytes only the digest is kept.
    #[must_use]
    pub fn new(status: u16, headers: Vec<HeaderField>, body: &[u8], limit: usize) -> Self {
        let body = if body.len() <= limit {
            Body::Complete(body.to_vec())
        } else {
            Body::Large {
                digest: Digest::of(body),
                bytes: body.len() as u64,
            }
        };
        Self {
            status,
            headers,
            body,
        }
    }
}

// Not derived, because `HeaderField` does not implement `Hash`.
impl Hash for RecordedResponse {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.status.hash(state);
        self.headers.len().hash(state);
        for field in &self.headers {
            field.name.hash(state);
            field.value.hash(state);
        }
        self.body.hash(state);
    }
}

impl Outcome {
    /// Approximate number of bytes on the heap.
    pub(crate) fn heap_bytes(&self) -> usize {
        match self {
            Self::Unknown => 0,
            Self::Response(response) => response.heap_bytes(),
        }
    }
}

impl RecordedResponse {
    fn heap_bytes(&self) -> usize {
        let fields: usize = self.headers.iter().map(field_bytes).sum();
        match &self.body {
            Body::Complete(bytes) => fields + bytes.len(),
            Body::Large { .. } => fields,
        }
    }
}

fn field_bytes(field: &HeaderField) -> usize {
    size_of::<HeaderField>() + field.name.len() + field.value.len()
}
