//! What came of an attempt that was sent.

use std::hash::{Hash, Hasher};

use pumicecleat_types::HeaderField;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::Digest;

/// What came of an attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's whole answer.
    #[serde(rename = "Answer")]
    Response(RecordedResponse),
    /// The answer was lost: it may have run.
    Unknown,
}

/// Answer of the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers passed on.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Body,
}

/// Body as recorded.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// All of it.
    #[serde(rename = "Whole")]
    Complete(#[serde_as(as = "Bytes")] Vec<u8>),
    /// Too large to keep.
    Large {
        /// Digest of the body.
        digest: Digest,
        /// Length, bytes.
        bytes: u64,
    },
}

impl RecordedResponse {
    /// Answer to record; a body longer than `limit` bytes is kept as its digest.
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

// `HeaderField` has no `Hash` to derive from.
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
    /// Bytes on the heap, about.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Unknown => 0,
            Self::Response(response) => response.size(),
        }
    }
}

impl RecordedResponse {
    fn size(&self) -> usize {
        let fields: usize = self.headers.iter().map(field_size).sum();
        match &self.body {
            Body::Complete(bytes) => fields + bytes.len(),
            Body::Large { .. } => fields,
        }
    }
}

fn field_size(field: &HeaderField) -> usize {
    size_of::<HeaderField>() + field.name.len() + field.value.len()
}
