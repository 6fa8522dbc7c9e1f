//! What the stream says of each key.
//!
//! A key holds a mark for each intent of the last window, in the order of the log. Whether an
//! intent wins follows from these marks alone. Each reader that has seen the whole window before
//! a record therefore judges it the same way, wherever it started to read.

use std::collections::{BTreeMap, VecDeque};

use pumicecleat_types::{Millis, Reason};

use super::names::Names;
use crate::{Abandon, Attempt, Digest, Done, Intent, Key, Outcome, Owner};

/// One attempt as the stream shows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Mark {
    attempt: Attempt,
    digest: Digest,
    deadline: Millis,
    until: Millis,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Open,
    Void,
    Done(Outcome),
}

/// A mark to be forgotten.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Due {
    until: Millis,
    key: Key,
}

/// What marks mean for a further attempt with their key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding<'a> {
    /// Nothing stands against it.
    Free,
    /// The call ran, and this came of it.
    Ran(&'a Outcome),
    /// It must not run.
    Barred(Reason),
}

/// Marks by key, and the order in which they're forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Book {
    marks: BTreeMap<Key, Vec<Mark>>,
    /// One for each intent, and one for each outcome whose intent was forgotten before it; by time.
    dues: VecDeque<Due>,
    bytes: usize,
    names: Names,
}

impl Book {
    /// What an attempt of `me` for `key` finds at `at`.
    pub(super) fn judge(&self, key: &Key, digest: Digest, at: Millis, me: &Owner) -> Finding<'_> {
        if let Some((sort, outcome)) = self.done(key, at) {
            return if sort == digest {
                Finding::Ran(outcome)
            } else {
                Finding::Barred(Reason::KeyReused)
            };
        }
        let Some(first) = self.live(key, at).next() else {
            return Finding::Free;
        };
        if first.digest != digest {
            return Finding::Barred(Reason::KeyReused);
        }
        match self.live(key, at).find(|m| m.stage == Stage::Open) {
            Some(open) => Finding::Barred(open.bar(at, me)),
            None => Finding::Free,
        }
    }

    /// Whether an attempt with `key` has ended with an outcome.
    pub(super) fn is_done(&self, key: &Key) -> bool {
        self.done(key, Millis(0)).is_some()
    }

    /// Whether the stream holds `attempt`.
    pub(super) fn holds(&self, key: &Key, attempt: &Attempt) -> bool {
        let mut marks = self.live(key, Millis(0));
        marks.any(|m| m.attempt == *attempt)
    }

    /// Notes an intent that counts until `until`.
    pub(super) fn open(&mut self, intent: &Intent, until: Millis) {
        let mark = Mark {
            attempt: self.names.attempt(&intent.attempt),
            digest: intent.digest,
            deadline: intent.deadline,
            until,
            stage: Stage::Open,
        };
        self.push(&intent.key, mark);
    }

    /// Notes that an attempt is void.
    pub(super) fn void(&mut self, abandon: &Abandon) {
        if let Some(mark) = self.find(&abandon.key, &abandon.attempt)
            && mark.stage == Stage::Open
        {
            mark.stage = Stage::Void;
        }
    }

    /// Notes an outcome that counts until `until`, also where the intent was trimmed before.
    pub(super) fn close(&mut self, done: &Done, until: Millis) {
        let stage = Stage::Done(done.outcome.clone());
        let Some(mark) = self.find(&done.key, &done.attempt) else {
            let mark = Mark {
                attempt: done.attempt.clone(),
                digest: done.digest,
                deadline: Millis(0),
                until,
                stage,
            };
            return self.push(&done.key, mark);
        };
        if matches!(mark.stage, Stage::Done(_)) {
            return;
        }
        mark.stage = stage;
        // Its due comes too early now, and is set anew then.
        mark.until = until;
        self.bytes += done.outcome.size();
    }

    /// Forgets marks that no longer count at `at`.
    pub(super) fn forget(&mut self, at: Millis) {
        while let Some(due) = self.dues.pop_front_if(|d| d.until <= at) {
            self.bytes -= size_of::<Due>();
            self.prune(&due.key, at);
            if let Some(until) = self.done_until(&due.key) {
                self.schedule(due.key, until);
            }
        }
    }

    /// When the first of the key's outcomes no longer counts, if it has any.
    fn done_until(&self, key: &Key) -> Option<Millis> {
        let marks = self.marks.get(key)?;
        let done = marks.iter().filter(|m| matches!(m.stage, Stage::Done(_)));
        done.map(|m| m.until).min()
    }

    /// Keys and marks.
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.marks.len(), self.marks.values().map(Vec::len).sum())
    }

    /// Bytes held, about.
    pub(super) fn size(&self) -> usize {
        self.bytes
    }

    fn live(&self, key: &Key, at: Millis) -> impl Iterator<Item = &Mark> {
        let marks = self.marks.get(key).map_or(&[][..], Vec::as_slice);
        marks.iter().filter(move |m| m.until > at)
    }

    fn done(&self, key: &Key, at: Millis) -> Option<(Digest, &Outcome)> {
        self.live(key, at).find_map(|m| match &m.stage {
            Stage::Done(outcome) => Some((m.digest, outcome)),
            Stage::Open | Stage::Void => None,
        })
    }

    fn find(&mut self, key: &Key, attempt: &Attempt) -> Option<&mut Mark> {
        let marks = self.marks.get_mut(key)?;
        marks.iter_mut().find(|m| m.attempt == *attempt)
    }

    fn push(&mut self, key: &Key, mark: Mark) {
        let until = mark.until;
        self.bytes += mark.size(key);
        let known = self
            .marks
            .get_key_value(key)
            .map(|(known, _)| known.clone());
        let key = known.unwrap_or_else(|| self.names.key(key));
        let marks = self.marks.entry(key.clone());
        // Nearly every key has one attempt.
        marks.or_insert_with(|| Vec::with_capacity(1)).push(mark);
        self.schedule(key, until);
    }

    // Times of records never fall, so that a due stands last, or, set anew, near the front.
    fn schedule(&mut self, key: Key, until: Millis) {
        self.bytes += size_of::<Due>();
        let at = self.dues.partition_point(|d| d.until <= until);
        self.dues.insert(at, Due { until, key });
    }

    fn prune(&mut self, key: &Key, at: Millis) {
        let Some(marks) = self.marks.get_mut(key) else {
            return;
        };
        let old = marks.extract_if(.., |m| m.until <= at);
        self.bytes -= old.map(|m| m.size(key)).sum::<usize>();
        if marks.is_empty() {
            self.marks.remove(key);
        }
    }
}

impl Mark {
    /// Why an open attempt bars others: it may still run, or nobody will say what became of it.
    fn bar(&self, at: Millis, me: &Owner) -> Reason {
        if self.deadline < at || me.is_kin(&self.attempt.owner) {
            Reason::KeyUnknown
        } else {
            Reason::KeyBusy
        }
    }

    fn size(&self, key: &Key) -> usize {
        let outcome = match &self.stage {
            Stage::Done(outcome) => outcome.size(),
            Stage::Open | Stage::Void => 0,
        };
        size_of::<Self>() + size_of::<Key>() + key.size() + outcome
    }
}
