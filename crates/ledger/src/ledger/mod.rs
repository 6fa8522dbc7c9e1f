//! State of one side: what the stream says of each key, and what becomes of its own attempts.

mod admit;
mod book;
mod dump;
mod error;
mod names;
mod own;
mod read;
mod step;

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

pub use admit::{Admission, Call};
pub use dump::{AttemptDump, Dump};
pub use error::StepError;
pub use read::{Event, Verdict};
pub use step::{NotRunProof, SendPermit, SentAttempt};

use crate::{Attempt, Limits, Owner, Record};
use book::Book;
use own::Own;

/// Part of a stream, by offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OffsetRange {
    /// Earliest record kept.
    pub first: u64,
    /// One past the last record.
    pub end: u64,
}

/// Decisions of one side on the keys of one service.
///
/// Everything that another side has to agree on comes from records in the order of the log and
/// from the log's clock; the side's own clock only ever makes it refuse.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    owner: Owner,
    limits: Limits,
    book: Book,
    own: BTreeMap<Attempt, Own>,
    owed: BTreeMap<Attempt, Record>,
    seq: u64,
    next: u64,
    end: u64,
    clock: Millis,
    blind: Millis,
}

impl Ledger {
    /// Ledger of a side that has just started and found `span` in the stream.
    #[must_use]
    pub fn new(owner: Owner, limits: Limits, span: OffsetRange) -> Self {
        Self {
            owner,
            limits,
            book: Book::default(),
            own: BTreeMap::new(),
            owed: BTreeMap::new(),
            seq: 0,
            next: span.first,
            end: span.end,
            clock: Millis(0),
            blind: Millis(0),
        }
    }

    /// Offset to read from.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Whether it has read all that stood in the stream at its start.
    #[must_use]
    pub fn caught_up(&self) -> bool {
        self.next >= self.end
    }

    /// Records that the stream still lacks: append them, and again until they're read back.
    pub fn pending_records(&self) -> impl Iterator<Item = &Record> {
        self.owed.values()
    }

    /// Whose attempts are own.
    #[must_use]
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Whether no own attempt is under way and the stream lacks nothing: the reader may stop
    /// here, and another ledger of the same stream take its place.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.own.is_empty() && self.owed.is_empty()
    }

    /// Bytes held, about.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.book.size() + self.own.len() * size_of::<(Attempt, Own)>()
    }
}
