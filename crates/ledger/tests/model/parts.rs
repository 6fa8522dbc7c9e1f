//! Closing a stream that is not wanted, and opening it again.

use std::collections::BTreeSet;

use pumicecleat_ledger::Attempt;

use crate::side::Side;
use crate::world::{Slip, World, owner};

impl World {
    /// Whether a side may stop following the stream.
    pub fn may_close(&self, side: usize) -> bool {
        let s = &self.sides[side];
        let end = self.log.up && s.ledger.next_offset() >= self.log.end();
        let rests =
            (end || self.slips(Slip::CloseUnread)) && s.outbox.is_empty() && s.ledger.is_idle();
        let owes = s.outbox.is_empty() && !self.is_asked(side) && self.slips(Slip::CloseOwing);
        self.budget.closes > 0 && (rests || owes || self.slips(Slip::CloseBusy))
    }

    fn is_asked(&self, side: usize) -> bool {
        let mut calls = 0..self.calls.len();
        calls.any(|call| self.attempt(call).is_some_and(|(s, _)| s == side))
    }

    /// An append without a reply may still take effect; the driver does not wait for it.
    pub fn close(&mut self, side: usize) {
        self.budget.closes -= 1;
        let flight = self.side(side).flight.take();
        self.strays.extend(flight);
        if self.slips(Slip::CloseBusy) {
            self.hang_up(side);
        }
        let ended = self.ended(side);
        let (limits, span) = (self.fixed.limits, self.start_span());
        let s = self.side(side);
        *s = Side {
            open: false,
            ended,
            ..Side::new(s.owner.clone(), limits, span)
        };
    }

    pub fn open(&mut self, side: usize) {
        let old = &self.sides[side];
        let more = u64::from(!self.slips(Slip::ReopenAlike));
        let next = owner(old.owner.vm.as_str(), old.owner.incarnation + more);
        let mut new = Side::new(next, self.fixed.limits, self.start_span());
        new.ended.clone_from(&old.ended);
        *self.side(side) = new;
    }

    // Own attempts whose intent is not on its way any more.
    fn ended(&self, side: usize) -> BTreeSet<Attempt> {
        let s = &self.sides[side];
        let strays = || self.strays.iter().flat_map(|b| b.iter());
        let own = self.attempts.keys().filter(|a| a.owner == s.owner);
        let ended = own.filter(|a| strays().all(|r| r.attempt() != *a));
        s.ended.iter().chain(ended).cloned().collect()
    }
}
