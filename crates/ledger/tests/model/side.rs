//! A side of the small world: the real ledger and the driver's few variables.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pumicecleat_ledger::{
    Attempt, Ledger, Limits, OffsetRange, Owner, Record, SendPermit, SentAttempt,
};

use crate::log::Batch;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Side {
    pub owner: Owner,
    /// Follows the stream.
    pub open: bool,
    /// Attempts of openings before this one of which nothing can follow.
    pub ended: BTreeSet<Attempt>,
    pub ledger: Ledger,
    /// Intents not yet appended.
    pub outbox: Vec<Record>,
    /// Append without a reply yet.
    pub flight: Option<Batch>,
    /// One past the last offset of an own append whose reply came.
    pub landed: u64,
    pub won: BTreeMap<usize, SendPermit>,
    pub sent: BTreeMap<usize, SentAttempt>,
}

impl Side {
    pub fn new(owner: Owner, limits: Limits, span: OffsetRange) -> Self {
        Self {
            ledger: Ledger::new(owner.clone(), limits, span),
            owner,
            open: true,
            ended: BTreeSet::new(),
            outbox: Vec::new(),
            flight: None,
            landed: 0,
            won: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    /// What the next append would carry.
    pub fn batch(&self, with_owed: bool) -> Batch {
        let mut batch = self.outbox.clone();
        if with_owed && self.ledger.next_offset() >= self.landed {
            batch.extend(self.ledger.pending_records().cloned());
        }
        Rc::new(batch)
    }

    /// Whether the intent of `attempt` waits to be appended, or for the reply.
    pub fn is_pending(&self, attempt: &Attempt) -> bool {
        let flight = self.flight.iter().flat_map(|b| b.iter());
        let mut records = self.outbox.iter().chain(flight);
        records.any(|r| matches!(r, Record::Intent(i) if i.attempt == *attempt))
    }

    pub fn owes(&self) -> bool {
        self.ledger.pending_records().next().is_some()
    }
}
