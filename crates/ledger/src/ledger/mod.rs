//! State of one side: the state of each key according to the stream, and the side's own attempts.

mod admit;
mod apply;
mod dump;
mod error;
mod interner;
mod key_table;
mod own_attempt;
mod step;

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

pub use admit::{Admission, Call};
pub use apply::{Event, Verdict};
pub use dump::{AttemptDump, Dump};
pub use error::StepError;
pub use step::{NotRunProof, SendPermit, SentAttempt};

use crate::{Attempt, Limits, Owner, Record};
use key_table::KeyTable;
use own_attempt::OwnAttempt;

/// Range of offsets in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OffsetRange {
    /// Offset of the earliest record kept.
    pub first: u64,
    /// One past the offset of the last record.
    pub end: u64,
}

/// Decisions of one side on the keys of one service.
///
/// Everything that sides have to agree on is derived from the order of the log's records and from
/// the log's clock. The side's own clock can only make it refuse a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    owner: Owner,
    limits: Limits,
    keys: KeyTable,
    own_attempts: BTreeMap<Attempt, OwnAttempt>,
    pending_records: BTreeMap<Attempt, Record>,
    next_seq: u64,
    next_offset: u64,
    catch_up_offset: u64,
    clock: Millis,
    blocked_until: Millis,
}

impl Ledger {
    /// Creates the ledger of a side that starts to read a stream with the offsets `range`.
    #[must_use]
    pub fn new(owner: Owner, limits: Limits, range: OffsetRange) -> Self {
        Self {
            owner,
            limits,
            keys: KeyTable::default(),
            own_attempts: BTreeMap::new(),
            pending_records: BTreeMap::new(),
            next_seq: 0,
            next_offset: range.first,
            catch_up_offset: range.end,
            clock: Millis(0),
            blocked_until: Millis(0),
        }
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Whether all records that the stream held at the start have been applied.
    #[must_use]
    pub fn caught_up(&self) -> bool {
        self.next_offset >= self.catch_up_offset
    }

    /// Records that the stream lacks. Append them, repeatedly, until they have been read back.
    pub fn pending_records(&self) -> impl Iterator<Item = &Record> {
        self.pending_records.values()
    }

    /// Owner of this ledger's own attempts.
    #[must_use]
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Whether no own attempt is in progress and no record is pending. The side may then stop
    /// reading, and another ledger may take over the stream.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.own_attempts.is_empty() && self.pending_records.is_empty()
    }

    /// Approximate memory use in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.keys.memory_bytes()
            + self.own_attempts.len() * size_of::<(Attempt, OwnAttempt)>()
    }
}
