//! A side of the model: the real ledger, and the state of the code that drives it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pumicecleat_ledger::{
    Attempt, Ledger, Limits, OffsetRange, Owner, Record, SendPermit, SentAttempt,
};

use crate::log::Batch;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Side {
    pub owner: Owner,
    /// Whether the stream is open.
    pub open: bool,
    /// Attempts made before the stream was last opened that can have no further effect.
    pub ended_attempts: BTreeSet<Attempt>,
    pub ledger: Ledger,
    /// Intents to append.
    pub outbox: Vec<Record>,
    /// Append that has no reply yet.
    pub in_flight: Option<Batch>,
    /// One past the offset of the last own append that was acknowledged.
    pub confirmed_end: u64,
    pub won: BTreeMap<usize, SendPermit>,
    pub sent: BTreeMap<usize, SentAttempt>,
}

impl Side {
    pub fn new(owner: Owner, limits: Limits, range: OffsetRange) -> Self {
        Self {
            ledger: Ledger::new(owner.clone(), limits, range),
            owner,
            open: true,
            ended_attempts: BTreeSet::new(),
            outbox: Vec::new(),
            in_flight: None,
            confirmed_end: 0,
            won: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Records of the next append.
    pub fn batch(&self, with_pending: bool) -> Batch {
        let mut batch = self.outbox.clone();
        if with_pending && self.ledger.next_offset() >= self.confirmed_end {
            batch.extend(self.ledger.pending_records().cloned());
        }
        Rc::new(batch)
    }

    /// Whether the intent of `attempt` is waiting to be appended or for the append's reply.
    pub fn is_unconfirmed(&self, attempt: &Attempt) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|b| b.iter());
        let mut records = self.outbox.iter().chain(in_flight);
        records.any(|r| matches!(r, Record::Intent(i) if i.attempt == *attempt))
    }

    pub fn has_pending_records(&self) -> bool {
        self.ledger.pending_records().next().is_some()
    }
}
