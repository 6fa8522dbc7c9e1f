//! State of each key, derived from the stream.
//!
//! A key has an entry for each intent of the last window, in log order. Whether an intent wins
//! depends on these entries alone. Every reader that has read the whole window before a record
//! therefore reaches the same decision, wherever it started to read.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_types::{Millis, Reason};

use super::interner::Interner;
use crate::{Abandon, Attempt, Digest, Done, Intent, Key, Outcome, Owner};

/// One attempt as recorded in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AttemptEntry {
    attempt: Attempt,
    digest: Digest,
    deadline: Millis,
    expires_at: Millis,
    state: AttemptState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum AttemptState {
    Open,
    Abandoned,
    Done(Outcome),
}

/// Scheduled removal of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Expiry {
    expires_at: Millis,
    key: Key,
}

/// What a key's entries mean for another attempt with the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyStatus<'a> {
    /// The attempt may run.
    Free,
    /// The call was sent, with this outcome.
    Done(&'a Outcome),
    /// The attempt must not run.
    Blocked(Reason),
}

/// Entries by key, and the order in which they expire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct KeyTable {
    attempts: BTreeMap<Key, Vec<AttemptEntry>>,
    /// One for each intent, and one for each outcome whose intent expired before it, sorted by
    /// time.
    expiries: VecDeque<Expiry>,
    bytes: usize,
    interner: Interner,
}

impl KeyTable {
    /// Status of `key` at `at` for an attempt of `owner`.
    pub(super) fn status(
        &self,
        key: &Key,
        digest: Digest,
        at: Millis,
        owner: &Owner,
    ) -> KeyStatus<'_> {
        if let Some((done_digest, outcome)) = self.first_outcome(key, at) {
            return if done_digest == digest {
                KeyStatus::Done(outcome)
            } else {
                KeyStatus::Blocked(Reason::KeyReused)
            };
        }
        let Some(first) = self.live(key, at).next() else {
            return KeyStatus::Free;
        };
        if first.digest != digest {
            return KeyStatus::Blocked(Reason::KeyReused);
        }
        match self.live(key, at).find(|e| e.state == AttemptState::Open) {
            Some(open) => KeyStatus::Blocked(open.block_reason(at, owner)),
            None => KeyStatus::Free,
        }
    }

    /// Whether an attempt with `key` has an outcome.
    pub(super) fn has_outcome(&self, key: &Key) -> bool {
        self.first_outcome(key, Millis(0)).is_some()
    }

    /// Whether the stream holds `attempt`.
    pub(super) fn contains(&self, key: &Key, attempt: &Attempt) -> bool {
        let mut entries = self.live(key, Millis(0));
        entries.any(|e| e.attempt == *attempt)
    }

    /// Adds an intent that counts until `expires_at`.
    pub(super) fn add_intent(&mut self, intent: &Intent, expires_at: Millis) {
        let entry = AttemptEntry {
            attempt: self.interner.attempt(&intent.attempt),
            digest: intent.digest,
            deadline: intent.deadline,
            expires_at,
            state: AttemptState::Open,
        };
        self.insert(&intent.key, entry);
    }

    /// Marks an open attempt as abandoned.
    pub(super) fn mark_abandoned(&mut self, abandon: &Abandon) {
        if let Some(entry) = self.find(&abandon.key, &abandon.attempt)
            && entry.state == AttemptState::Open
        {
            entry.state = AttemptState::Abandoned;
        }
    }

    /// Records an outcome that counts until `expires_at`, even if the intent was trimmed before.
    pub(super) fn record_outcome(&mut self, done: &Done, expires_at: Millis) {
        let state = AttemptState::Done(done.outcome.clone());
        let Some(entry) = self.find(&done.key, &done.attempt) else {
            let entry = AttemptEntry {
                attempt: done.attempt.clone(),
                digest: done.digest,
                deadline: Millis(0),
                expires_at,
                state,
            };
            return self.insert(&done.key, entry);
        };
        if matches!(entry.state, AttemptState::Done(_)) {
            return;
        }
        entry.state = state;
        // The expiry scheduled for the intent is too early now; `expire` reschedules it.
        entry.expires_at = expires_at;
        self.bytes += done.outcome.heap_bytes();
    }

    /// Removes entries that no longer count at `at`.
    pub(super) fn expire(&mut self, at: Millis) {
        while let Some(expiry) = self.expiries.pop_front_if(|e| e.expires_at <= at) {
            self.bytes -= size_of::<Expiry>();
            self.prune(&expiry.key, at);
            if let Some(next) = self.next_outcome_expiry(&expiry.key) {
                self.schedule_expiry(expiry.key, next);
            }
        }
    }

    /// When the first of the key's outcomes expires, if it has any.
    fn next_outcome_expiry(&self, key: &Key) -> Option<Millis> {
        let entries = self.attempts.get(key)?;
        let done = entries
            .iter()
            .filter(|e| matches!(e.state, AttemptState::Done(_)));
        done.map(|e| e.expires_at).min()
    }

    /// Number of keys and of attempts.
    pub(super) fn counts(&self) -> (usize, usize) {
        (
            self.attempts.len(),
            self.attempts.values().map(Vec::len).sum(),
        )
    }

    /// Approximate memory use in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.bytes
    }

    fn live(&self, key: &Key, at: Millis) -> impl Iterator<Item = &AttemptEntry> {
        let entries = self.attempts.get(key).map_or(&[][..], Vec::as_slice);
        entries.iter().filter(move |e| e.expires_at > at)
    }

    fn first_outcome(&self, key: &Key, at: Millis) -> Option<(Digest, &Outcome)> {
        self.live(key, at).find_map(|e| match &e.state {
            AttemptState::Done(outcome) => Some((e.digest, outcome)),
            AttemptState::Open | AttemptState::Abandoned => None,
        })
    }

    fn find(&mut self, key: &Key, attempt: &Attempt) -> Option<&mut AttemptEntry> {
        let entries = self.attempts.get_mut(key)?;
        entries.iter_mut().find(|e| e.attempt == *attempt)
    }

    fn insert(&mut self, key: &Key, entry: AttemptEntry) {
        let expires_at = entry.expires_at;
        self.bytes += entry.memory_bytes(key);
        let known = self
            .attempts
            .get_key_value(key)
            .map(|(known, _)| known.clone());
        let key = known.unwrap_or_else(|| self.interner.key(key));
        let entries = self.attempts.entry(key.clone());
        // Nearly every key has one attempt.
        entries.or_insert_with(|| Vec::with_capacity(1)).push(entry);
        self.schedule_expiry(key, expires_at);
    }

    // The log's clock never goes back, so an expiry is added at the end or, if rescheduled, near
    // the front.
    fn schedule_expiry(&mut self, key: Key, expires_at: Millis) {
        self.bytes += size_of::<Expiry>();
        let index = self
            .expiries
            .partition_point(|e| e.expires_at <= expires_at);
        self.expiries.insert(index, Expiry { expires_at, key });
    }

    fn prune(&mut self, key: &Key, at: Millis) {
        let Some(entries) = self.attempts.get_mut(key) else {
            return;
        };
        let expired = entries.extract_if(.., |e| e.expires_at <= at);
        self.bytes -= expired.map(|e| e.memory_bytes(key)).sum::<usize>();
        if entries.is_empty() {
            self.attempts.remove(key);
        }
    }
}

impl AttemptEntry {
    /// Why this open attempt blocks others: it may still run, or its outcome will never be known.
    fn block_reason(&self, at: Millis, owner: &Owner) -> Reason {
        if self.deadline < at || owner.is_other_incarnation(&self.attempt.owner) {
            Reason::KeyUnknown
        } else {
            Reason::KeyBusy
        }
    }

    fn memory_bytes(&self, key: &Key) -> usize {
        let outcome = match &self.state {
            AttemptState::Done(outcome) => outcome.heap_bytes(),
            AttemptState::Open | AttemptState::Abandoned => 0,
        };
        size_of::<Self>() + size_of::<Key>() + key.heap_bytes() + outcome
    }
}
