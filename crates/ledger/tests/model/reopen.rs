//! Closing and reopening of a stream by a side.

use std::collections::BTreeSet;

use pumicecleat_ledger::Attempt;

use crate::side::Side;
use crate::state::{Mutation, State, owner};

impl State {
    /// Whether a side may close the stream.
    pub fn may_close(&self, side: usize) -> bool {
        let s = &self.sides[side];
        let end = self.log.up && s.ledger.next_offset() >= self.log.end();
        let is_at_rest = (end || self.has_mutation(Mutation::CloseBeforeReadBack))
            && s.outbox.is_empty()
            && s.ledger.is_idle();
        let has_pending_records = s.outbox.is_empty()
            && !self.has_open_call(side)
            && self.has_mutation(Mutation::CloseWithPendingRecords);
        self.budget.closes > 0
            && (is_at_rest
                || has_pending_records
                || self.has_mutation(Mutation::CloseWithOpenCalls))
    }

    fn has_open_call(&self, side: usize) -> bool {
        let mut calls = 0..self.calls.len();
        calls.any(|call| self.attempt(call).is_some_and(|(s, _)| s == side))
    }

    /// An append without a reply may still take effect; the side does not wait for it.
    pub fn close(&mut self, side: usize) {
        self.budget.closes -= 1;
        let in_flight = self.side(side).in_flight.take();
        self.orphaned_appends.extend(in_flight);
        if self.has_mutation(Mutation::CloseWithOpenCalls) {
            self.disconnect(side);
        }
        let ended_attempts = self.ended_attempts(side);
        let (limits, range) = (self.settings.limits, self.start_range());
        let s = self.side(side);
        *s = Side {
            open: false,
            ended_attempts,
            ..Side::new(s.owner.clone(), limits, range)
        };
    }

    pub fn open(&mut self, side: usize) {
        let old = &self.sides[side];
        let more = u64::from(!self.has_mutation(Mutation::ReopenAsSameOwner));
        let next = owner(old.owner.vm.as_str(), old.owner.incarnation + more);
        let mut new = Side::new(next, self.settings.limits, self.start_range());
        new.ended_attempts.clone_from(&old.ended_attempts);
        *self.side(side) = new;
    }

    // Own attempts whose intent is not part of an append that may still take effect.
    fn ended_attempts(&self, side: usize) -> BTreeSet<Attempt> {
        let s = &self.sides[side];
        let orphaned_appends = || self.orphaned_appends.iter().flat_map(|b| b.iter());
        let own = self.attempts.keys().filter(|a| a.owner == s.owner);
        let ended_attempts = own.filter(|a| orphaned_appends().all(|r| r.attempt() != *a));
        s.ended_attempts
            .iter()
            .chain(ended_attempts)
            .cloned()
            .collect()
    }
}
