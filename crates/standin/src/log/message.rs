//! Bodies of the log service.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

/// Append.
#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Append {
    /// Records, in their order.
    #[serde_as(as = "Vec<Base64>")]
    pub(crate) records: Vec<Vec<u8>>,
}

/// Answer to an append.
#[derive(Serialize)]
pub(crate) struct Appended {
    /// Offset of the first record.
    pub(crate) first: u64,
    /// Time of the append, milliseconds since 1970.
    pub(crate) at: u64,
}

/// A record as read.
#[serde_as]
#[derive(Clone, Serialize)]
pub(crate) struct Record {
    /// Offset.
    pub(crate) offset: u64,
    /// Time of the append, milliseconds since 1970.
    pub(crate) at: u64,
    /// Bytes.
    #[serde_as(as = "Base64")]
    pub(crate) data: Vec<u8>,
}

/// Answer to a read.
#[derive(Serialize)]
pub(crate) struct Page {
    /// Records from the offset asked for.
    pub(crate) records: Vec<Record>,
    /// Oldest offset kept.
    pub(crate) first: u64,
    /// Next free offset.
    pub(crate) next: u64,
}

/// Answer to a read from before the oldest record.
#[derive(Serialize)]
pub(crate) struct Gone {
    /// Oldest offset kept.
    pub(crate) first: u64,
    /// Next free offset.
    pub(crate) next: u64,
}
