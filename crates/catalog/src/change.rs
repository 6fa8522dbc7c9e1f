//! What a record says, and who can read it.

use pumicecleat_infra::KeyedRecord;
use snafu::Snafu;

use crate::{Layout, Upstream};

/// Streams that a catalog is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Operators' records: configuration and versions of adapters.
    Operators,
    /// Upstreams' records.
    Upstreams,
}

/// What one record says.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration, whole.
    Layout(Layout),
    /// Newest version of an adapter.
    Version {
        /// Adapter, as requests name it: base model, slash, adapter.
        adapter: String,
        /// Version.
        version: u64,
    },
    /// An upstream's entry.
    Upstream(Upstream),
    /// An instance's entry can't be read: it names no upstream to use.
    Unusable {
        /// Instance.
        instance: String,
    },
    /// An instance has no entry any more.
    Gone {
        /// Instance.
        instance: String,
    },
    /// Nothing that concerns a catalog.
    Other,
}

/// A record that can't be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("step read record {key}: {detail}"))]
pub struct DecodeError {
    /// Key of the record.
    pub key: String,
    /// What is wrong.
    pub detail: String,
}

/// Names and forms of the records.
pub trait RecordDecoder {
    /// Stream that holds a topic.
    fn stream(&self, topic: Topic) -> &'static str;

    /// What a record of a topic says.
    ///
    /// # Errors
    /// [`DecodeError`] if the record is not in the form expected.
    fn decode(&self, topic: Topic, record: &KeyedRecord) -> Result<Change, DecodeError>;
}
