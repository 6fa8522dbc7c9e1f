//! Fingerprints of requests, which are equal for all attempts of one request.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// Digest of the parts of a request that all its attempts share.
#[serde_as]
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(#[serde_as(as = "Bytes")] pub [u8; 16]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
