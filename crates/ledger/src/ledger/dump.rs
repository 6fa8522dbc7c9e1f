//! Snapshot of a ledger's state, for operators.

use pumicecleat_types::Millis;
use serde::Serialize;
use serde_with::{DisplayFromStr, serde_as};

use super::Ledger;
use super::own_attempt::Phase;
use crate::{Attempt, Key, Limits, Owner};

/// State of a ledger.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// Owner of the ledger.
    #[serde_as(as = "DisplayFromStr")]
    pub owner: Owner,
    /// Time limits in force.
    pub limits: Limits,
    /// Offset of the next record to apply.
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// Whether all records that the stream held at the start have been applied.
    pub caught_up: bool,
    /// Latest time of a record in the stream, milliseconds since 1970.
    pub clock: Millis,
    /// No call can win before this time, because a record could not be decoded.
    #[serde(rename = "blind")]
    pub blocked_until: Millis,
    /// Number of keys within the window.
    pub keys: usize,
    /// Number of attempts within the window.
    #[serde(rename = "marks")]
    pub attempts: usize,
    /// Number of records that the stream lacks.
    #[serde(rename = "owed")]
    pub pending_records: usize,
    /// Approximate memory use in bytes.
    pub bytes: usize,
    /// Own attempts in progress.
    #[serde(rename = "own")]
    pub own_attempts: Vec<AttemptDump>,
}

/// Own attempt in progress.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AttemptDump {
    /// Attempt.
    #[serde_as(as = "DisplayFromStr")]
    pub attempt: Attempt,
    /// Idempotency key.
    #[serde_as(as = "DisplayFromStr")]
    pub key: Key,
    /// Latest time at which it may be sent, milliseconds since 1970.
    pub deadline: Millis,
    /// `waiting`, `won` or `sent`.
    pub phase: &'static str,
}

impl Ledger {
    /// Returns a snapshot of the state for operators.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let (keys, attempts) = self.keys.counts();
        Dump {
            owner: self.owner.clone(),
            limits: self.limits,
            next_offset: self.next_offset,
            caught_up: self.caught_up(),
            clock: self.clock,
            blocked_until: self.blocked_until,
            keys,
            attempts,
            pending_records: self.pending_records.len(),
            bytes: self.memory_bytes(),
            own_attempts: self.dump_own_attempts(),
        }
    }

    fn dump_own_attempts(&self) -> Vec<AttemptDump> {
        let rows = self.own_attempts.iter().map(|(attempt, own)| AttemptDump {
            attempt: attempt.clone(),
            key: own.key.clone(),
            deadline: own.deadline,
            phase: phase_name(own.phase),
        });
        rows.collect()
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Won => "won",
        Phase::Sent => "sent",
    }
}
