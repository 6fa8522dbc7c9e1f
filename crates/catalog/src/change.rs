//! Changes decoded from log records, and the trait for their decoder.

use pumicecleat_infra::KeyedRecord;
use snafu::Snafu;

use crate::{Layout, Upstream};

/// Topics that make up a catalog; each has a stream in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Operators' records: configuration and adapter versions.
    Operators,
    /// Upstreams' entries: the list of upstreams.
    Upstreams,
}

/// Change described by one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A complete configuration.
    Layout(Layout),
    /// Newest version of an adapter.
    Version {
        /// Adapter as `base-model/adapter`.
        adapter: String,
        /// Version.
        version: u64,
    },
    /// A new or updated upstream entry.
    Upstream(Upstream),
    /// An instance's entry can't be decoded, so it gives no usable upstream.
    Unusable {
        /// Instance.
        instance: String,
    },
    /// An instance's entry was removed.
    Gone {
        /// Instance.
        instance: String,
    },
    /// Not relevant to a catalog.
    Other,
}

/// A record can't be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("step read record {key}: {detail}"))]
pub struct DecodeError {
    /// Key of the record.
    pub key: String,
    /// Description of the fault.
    pub detail: String,
}

/// Stream names and record formats of a deployment.
pub trait RecordDecoder {
    /// Returns the name of the stream that holds a topic.
    fn stream(&self, topic: Topic) -> &'static str;

    /// Decodes a record of a topic.
    ///
    /// # Errors
    /// [`DecodeError`] if the record does not have the expected format.
    fn decode(&self, topic: Topic, record: &KeyedRecord) -> Result<Change, DecodeError>;
}
