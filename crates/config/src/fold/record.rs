//! Records of the `config` stream.
//!
//! A record states its format. Readers of different versions must not reach different verdicts, so
//! a reader that meets a newer format stops there.

use std::borrow::Cow;
use std::fmt;

use pumicecleat_types::{CodecError, decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use snafu::{ResultExt, Snafu, ensure};

use super::due::SnapshotProgress;
use super::event::Verdict;
use super::items;
use crate::delta::Delta;
use crate::digest::{Digest, digest};
use crate::model::{Config, Item};

/// Latest record format; incremented with any change to the content of records or to digests.
const LATEST_FORMAT: u32 = 2;
/// Format of records without pools whose keys have several parts, which older readers support.
const SINGLE_PART_FORMAT: u32 = 1;
const MAGIC: &str = "pumicecleat config record";
const MAX_ID_BYTES: usize = 64;

/// Unique id of a change, chosen by its author; 1 to 64 bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(String);

/// Invalid change id.
#[derive(Debug, Snafu)]
#[snafu(display("step change id: {bytes} bytes, must be from 1 to {MAX_ID_BYTES}"))]
pub struct ChangeIdError {
    /// Length, bytes.
    pub bytes: usize,
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(id: String) -> Result<Self, ChangeIdError> {
        let bytes = id.len();
        ensure!((1..=MAX_ID_BYTES).contains(&bytes), ChangeIdSnafu { bytes });
        Ok(Self(id))
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> Self {
        id.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id.
    pub id: ChangeId,
    /// Revision it is based on.
    pub base: u64,
    /// Delta from that revision.
    pub delta: Delta,
    /// Digest of the resulting configuration.
    pub digest: Digest,
    /// Author.
    pub author: String,
    /// Free-form note.
    pub note: String,
}

impl Change {
    /// Creates a change from the configuration `from` at revision `base` to `to`, without a note.
    #[must_use]
    pub fn new(id: ChangeId, base: u64, from: &Config, to: &Config, author: &str) -> Self {
        Self {
            id,
            base,
            delta: Delta::between(from, to),
            digest: digest(to),
            author: author.to_owned(),
            note: String::new(),
        }
    }
}

/// A change with its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledChange {
    /// Change id.
    pub id: ChangeId,
    /// Offset of its record.
    pub offset: u64,
    /// Verdict.
    pub verdict: Verdict,
}

/// Complete state of a fold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision in force.
    pub revision: u64,
    /// Offset of the first record it does not cover.
    pub next: u64,
    /// Digest of the configuration.
    pub digest: Digest,
    /// Configuration.
    #[serde(with = "items")]
    pub config: Config,
    /// Last changes decided, by offset.
    pub window: Vec<SettledChange>,
    /// Progress towards the next snapshot.
    pub mark: SnapshotProgress,
}

/// Record of the `config` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Change.
    Change(Box<Change>),
    /// Snapshot.
    Snapshot(Box<Snapshot>),
}

/// Encoding of a record in the log.
#[serde_as]
#[derive(Serialize, Deserialize)]
struct Envelope<'r> {
    magic: String,
    format: u32,
    #[serde_as(as = "Bytes")]
    #[serde(borrow)]
    body: Cow<'r, [u8]>,
}

/// Error in decoding a record.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// Written by a newer version in a format that this one does not support.
    #[snafu(display("step record: format {format} is newer than {LATEST_FORMAT}"))]
    UnsupportedFormat {
        /// Format.
        format: u32,
    },
    /// Envelope of another kind of data.
    #[snafu(display("step record: no record of this stream"))]
    Foreign,
    /// Not a record.
    #[snafu(display("step record: {source}"))]
    Malformed {
        /// Why.
        source: CodecError,
    },
}

impl Record {
    /// Encodes the record for the log.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let several_parts = match self {
            Self::Change(change) => change.delta.put.iter().any(item_has_several_parts),
            Self::Snapshot(snapshot) => config_has_several_parts(&snapshot.config),
        };
        encode_envelope(self, several_parts)
    }

    /// Decodes a record from the log.
    ///
    /// # Errors
    /// [`RecordError`] if it is malformed or of a newer format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        decode_record(bytes)
    }
}

fn item_has_several_parts(item: &Item) -> bool {
    matches!(item, Item::Pool(_, pool) if pool.parts() > 1)
}

/// Whether some pool has its keys in several parts, which readers of the first format don't
/// support.
pub(super) fn config_has_several_parts(config: &Config) -> bool {
    config.pools.values().any(|p| p.parts() > 1)
}

/// Encodes a record in an envelope.
pub(super) fn encode_envelope<R: Serialize>(record: &R, several_parts: bool) -> Vec<u8> {
    encode(&Envelope {
        magic: MAGIC.to_owned(),
        format: if several_parts {
            LATEST_FORMAT
        } else {
            SINGLE_PART_FORMAT
        },
        body: encode(record).into(),
    })
}

/// Decodes a record in an envelope.
pub(super) fn decode_record<R: DeserializeOwned>(bytes: &[u8]) -> Result<R, RecordError> {
    decode(&open_envelope(bytes)?).context(MalformedSnafu)
}

/// Decodes an envelope; returns the encoded record if its format is supported.
pub(super) fn open_envelope(bytes: &[u8]) -> Result<Cow<'_, [u8]>, RecordError> {
    let envelope: Envelope<'_> = decode(bytes).context(MalformedSnafu)?;
    let Envelope {
        magic,
        format,
        body,
    } = envelope;
    ensure!(magic == MAGIC, ForeignSnafu);
    ensure!(format <= LATEST_FORMAT, UnsupportedFormatSnafu { format });
    Ok(body)
}
