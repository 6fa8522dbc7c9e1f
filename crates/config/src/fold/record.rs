//! Records of the `config` stream.
//!
//! A record names its format. Readers of different versions must not come to different verdicts,
//! so that one who meets a later format judges nothing from there on.

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

/// Latest format of records, raised with any change of what they hold or of how digests are made.
const FORMAT: u32 = 2;
/// Format of records that hold no pool with keys in several parts: older readers know these.
const PLAIN: u32 = 1;
const MAGIC: &str = "pumicecleat config record";
const ID_LEN: usize = 64;

/// Unique id of a change, given by its author; at most 64 bytes, not empty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(String);

/// Not an id of a change.
#[derive(Debug, Snafu)]
#[snafu(display("step change id: {bytes} bytes, must be from 1 to {ID_LEN}"))]
pub struct ChangeIdError {
    /// Length.
    pub bytes: usize,
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(id: String) -> Result<Self, ChangeIdError> {
        let bytes = id.len();
        ensure!((1..=ID_LEN).contains(&bytes), ChangeIdSnafu { bytes });
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
    /// Revision it was made from.
    pub base: u64,
    /// Change against it.
    pub delta: Delta,
    /// Digest of the result.
    pub digest: Digest,
    /// Author.
    pub author: String,
    /// Note for people.
    pub note: String,
}

impl Change {
    /// Change from the configuration `from` of revision `base` to `to`, without note.
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

/// A change that the log has settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledChange {
    /// Change.
    pub id: ChangeId,
    /// Offset of its record.
    pub offset: u64,
    /// Verdict.
    pub verdict: Verdict,
}

/// Whole state of a fold.
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
    /// Changes settled last, by offset.
    pub window: Vec<SettledChange>,
    /// What the next snapshot waits for.
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

/// Record as it stands in the log.
#[serde_as]
#[derive(Serialize, Deserialize)]
struct Envelope<'r> {
    magic: String,
    format: u32,
    #[serde_as(as = "Bytes")]
    #[serde(borrow)]
    body: Cow<'r, [u8]>,
}

/// Bytes that are not a record known here.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// Written by a later version, which alone knows how to judge it.
    #[snafu(display("step record: format {format} is newer than {FORMAT}"))]
    UnsupportedFormat {
        /// Format.
        format: u32,
    },
    /// Something else in an envelope alike.
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
    /// Bytes for the log.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let parted = match self {
            Self::Change(change) => change.delta.put.iter().any(is_parted),
            Self::Snapshot(snapshot) => has_parted(&snapshot.config),
        };
        seal(self, parted)
    }

    /// Record from the log.
    ///
    /// # Errors
    /// [`RecordError`] if it is none, or of a later format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        open(bytes)
    }
}

fn is_parted(item: &Item) -> bool {
    matches!(item, Item::Pool(_, pool) if pool.parts() > 1)
}

/// Whether a pool has its keys in several parts, of which readers of the first format don't know.
pub(super) fn has_parted(config: &Config) -> bool {
    config.pools.values().any(|p| p.parts() > 1)
}

/// Bytes of a record in its envelope.
pub(super) fn seal<R: Serialize>(record: &R, parted: bool) -> Vec<u8> {
    encode(&Envelope {
        magic: MAGIC.to_owned(),
        format: if parted { FORMAT } else { PLAIN },
        body: encode(record).into(),
    })
}

/// Record from its envelope.
pub(super) fn open<R: DeserializeOwned>(bytes: &[u8]) -> Result<R, RecordError> {
    decode(&unseal(bytes)?).context(MalformedSnafu)
}

/// Encoded record in an envelope of a format known here.
pub(super) fn unseal(bytes: &[u8]) -> Result<Cow<'_, [u8]>, RecordError> {
    let envelope: Envelope<'_> = decode(bytes).context(MalformedSnafu)?;
    let Envelope {
        magic,
        format,
        body,
    } = envelope;
    ensure!(magic == MAGIC, ForeignSnafu);
    ensure!(format <= FORMAT, UnsupportedFormatSnafu { format });
    Ok(body)
}
