//! State for people, on request.

use pumicecleat_types::Millis;
use serde::Serialize;
use serde_with::{DisplayFromStr, serde_as};

use super::Ledger;
use super::own::Phase;
use crate::{Attempt, Key, Limits, Owner};

/// State of a ledger.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// This side.
    #[serde_as(as = "DisplayFromStr")]
    pub owner: Owner,
    /// Spans.
    pub limits: Limits,
    /// Offset to read from.
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// Whether it has read all that stood in the stream at its start.
    pub caught_up: bool,
    /// Latest time in the stream, milliseconds since 1970.
    pub clock: Millis,
    /// No call wins before this time, as a record could not be read.
    #[serde(rename = "blind")]
    pub blocked_until: Millis,
    /// Keys within the window.
    pub keys: usize,
    /// Attempts within the window.
    #[serde(rename = "marks")]
    pub attempts: usize,
    /// Records that the stream still lacks.
    #[serde(rename = "owed")]
    pub pending_records: usize,
    /// Bytes held, about.
    pub bytes: usize,
    /// Own attempts under way.
    #[serde(rename = "own")]
    pub own_attempts: Vec<AttemptDump>,
}

/// Own attempt under way.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AttemptDump {
    /// Attempt.
    #[serde_as(as = "DisplayFromStr")]
    pub attempt: Attempt,
    /// Key.
    #[serde_as(as = "DisplayFromStr")]
    pub key: Key,
    /// When its caller stops waiting.
    pub deadline: Millis,
    /// `waiting`, `won` or `sent`.
    pub phase: &'static str,
}

impl Ledger {
    /// State for people.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let (keys, attempts) = self.book.counts();
        Dump {
            owner: self.owner.clone(),
            limits: self.limits,
            next_offset: self.next,
            caught_up: self.caught_up(),
            clock: self.clock,
            blocked_until: self.blind,
            keys,
            attempts,
            pending_records: self.owed.len(),
            bytes: self.memory_bytes(),
            own_attempts: self.own_dump(),
        }
    }

    fn own_dump(&self) -> Vec<AttemptDump> {
        let rows = self.own.iter().map(|(attempt, own)| AttemptDump {
            attempt: attempt.clone(),
            key: own.key.clone(),
            deadline: own.deadline,
            phase: name(own.phase),
        });
        rows.collect()
    }
}

fn name(phase: Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Won => "won",
        Phase::Sent => "sent",
    }
}
