//! Moves of the model. Each is one step of a side, a caller, the log or the clock.

use std::rc::Rc;

use pumicecleat_ledger::{
    Abandon, Admission, Attempt, Body, Call, Event, OffsetRange, Outcome, Record, RecordedResponse,
    SendPermit, StepError, Verdict,
};
use pumicecleat_types::{Millis, Reason};

use crate::log::Batch;
use crate::side::Side;
use crate::state::{CALL_TIMEOUT, CallResult, Effect, Mutation, Progress, State, owner};

const INVENTED_CALL: u8 = 99;

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// A call arrives at a side.
    Submit { call: usize, side: usize },
    /// A side starts an append.
    StartAppend { side: usize },
    /// The append takes effect, and the side receives the reply.
    FinishAppend { side: usize },
    /// The side stops waiting for the reply; the append may still take effect.
    LoseAppendReply { side: usize },
    /// An append that no side waits for takes effect.
    FinishOrphanedAppend { orphan: usize },
    /// A side reads one entry of the log.
    Read { side: usize },
    /// A side sends a won call, and the upstream executes it.
    Send { call: usize },
    /// The send of a won call fails before a byte left, so the upstream has received nothing.
    FailSend { call: usize },
    /// The response reaches the side.
    ReceiveResponse { call: usize },
    /// The response is lost.
    LoseResponse { call: usize },
    /// A side abandons an attempt that was not sent.
    Abandon { call: usize },
    /// A side crashes, and its next incarnation starts.
    Crash { side: usize },
    /// A side closes the stream.
    Close { side: usize },
    /// A side opens the stream again, as a new owner.
    Open { side: usize },
    /// The log becomes unavailable.
    LogDown,
    /// The log becomes available again.
    LogUp,
    /// The log trims entries older than its retention.
    Trim,
    /// Time passes.
    AdvanceClock { step: u64 },
}

impl State {
    /// All moves that are possible in this state.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        (0..self.sides.len()).for_each(|side| self.side_moves(side, &mut moves));
        (0..self.calls.len()).for_each(|call| self.call_moves(call, &mut moves));
        self.orphan_moves(&mut moves);
        self.environment_moves(&mut moves);
        moves
    }

    /// Whether a move is fair, i.e. not a fault. Fair moves alone must be enough for each call to
    /// end.
    pub fn is_fair(&self, step: Move) -> bool {
        match step {
            Move::StartAppend { .. }
            | Move::FinishAppend { .. }
            | Move::Read { .. }
            | Move::Send { .. }
            | Move::ReceiveResponse { .. }
            | Move::Open { .. }
            | Move::LogUp => true,
            Move::Abandon { call } => {
                !self.has_mutation(Mutation::NeverAbandon) && self.is_intent_lost(call)
            }
            _ => false,
        }
    }

    /// State after a move.
    pub fn successor(&self, step: Move) -> Self {
        let mut next = self.clone();
        next.perform(step);
        next
    }

    // The side has read the whole log without finding the intent.
    fn is_intent_lost(&self, call: usize) -> bool {
        let Some((side, attempt)) = self.attempt(call) else {
            return false;
        };
        let s = &self.sides[side];
        let read = s.ledger.next_offset() >= self.log.end();
        read && !s.is_unconfirmed(attempt) && !s.won.contains_key(&call)
    }

    fn side_moves(&self, side: usize, moves: &mut Vec<Move>) {
        let s = &self.sides[side];
        if self.budget.crashes > 0 {
            moves.push(Move::Crash { side });
        }
        if !s.open {
            if self.log.up {
                moves.push(Move::Open { side });
            }
            return;
        }
        if self.may_close(side) {
            moves.push(Move::Close { side });
        }
        if self.log.up && s.in_flight.is_none() && !self.next_batch(side).is_empty() {
            moves.push(Move::StartAppend { side });
        }
        if s.in_flight.is_some() {
            if self.log.up {
                moves.push(Move::FinishAppend { side });
            }
            if self.budget.lost_replies > 0 {
                moves.push(Move::LoseAppendReply { side });
            }
        }
        if self.log.up && s.ledger.next_offset() < self.log.end() {
            moves.push(Move::Read { side });
        }
    }

    fn call_moves(&self, call: usize, moves: &mut Vec<Move>) {
        match &self.calls[call].progress {
            Progress::New => self.new_moves(call, moves),
            Progress::Open { side, .. } => self.open_moves(call, *side, moves),
            Progress::Ended(_) => {}
        }
    }

    // Symmetry reduction: sides are interchangeable at first, and so are calls with the same body.
    // The first call goes to the first side, and calls with the same body are made in order. Any
    // other run equals one of these with other names.
    fn new_moves(&self, call: usize, moves: &mut Vec<Move>) {
        let body = self.calls[call].body;
        let mut earlier = self.calls[..call].iter();
        if earlier.any(|c| c.body == body && c.progress == Progress::New) {
            return;
        }
        let sides = if call == 0 { 1 } else { self.sides.len() };
        let open = (0..sides).filter(|s| self.sides[*s].open);
        moves.extend(open.map(|side| Move::Submit { call, side }));
    }

    fn open_moves(&self, call: usize, side: usize, moves: &mut Vec<Move>) {
        let s = &self.sides[side];
        if s.sent.contains_key(&call) {
            moves.push(Move::ReceiveResponse { call });
            if self.budget.lost_responses > 0 {
                moves.push(Move::LoseResponse { call });
            }
            if self.has_mutation(Mutation::DenySent) {
                moves.push(Move::Abandon { call });
            }
            return;
        }
        if s.won.contains_key(&call) {
            moves.push(Move::Send { call });
            if self.budget.failed_sends > 0 {
                moves.push(Move::FailSend { call });
            }
        }
        moves.push(Move::Abandon { call });
    }

    fn orphan_moves(&self, moves: &mut Vec<Move>) {
        if self.log.up {
            let orphaned_appends = 0..self.orphaned_appends.len();
            moves.extend(orphaned_appends.map(|orphan| Move::FinishOrphanedAppend { orphan }));
        }
    }

    fn environment_moves(&self, moves: &mut Vec<Move>) {
        if !self.log.up {
            moves.push(Move::LogUp);
        } else if self.budget.outages > 0 {
            moves.push(Move::LogDown);
        }
        if self.budget.trims > 0
            && self.log.expired(self.clock, self.settings.log_retention) > self.log.first
        {
            moves.push(Move::Trim);
        }
        if let Some(&step) = self.budget.clock_steps.first() {
            moves.push(Move::AdvanceClock { step });
        }
    }

    fn next_batch(&self, side: usize) -> Batch {
        self.sides[side].batch(!self.has_mutation(Mutation::DropPendingRecords))
    }

    fn perform(&mut self, step: Move) {
        match step {
            Move::Submit { call, side } => self.submit(call, side),
            Move::StartAppend { side } => self.start_append(side),
            Move::FinishAppend { side } => self.finish_append(side),
            Move::LoseAppendReply { side } => self.lose_append_reply(side),
            Move::FinishOrphanedAppend { orphan } => {
                let batch = self.orphaned_appends.remove(orphan);
                self.append(batch);
            }
            Move::Read { side } => self.read(side),
            Move::Send { call } => self.send(call),
            Move::FailSend { call } => self.fail_send(call),
            Move::ReceiveResponse { call } => self.receive_response(call),
            Move::LoseResponse { call } => self.lose_response(call),
            Move::Abandon { call } => self.abandon_call(call),
            Move::Crash { side } => self.crash(side),
            Move::Close { side } => self.close(side),
            Move::Open { side } => self.open(side),
            Move::LogDown => {
                self.budget.outages -= 1;
                self.log().up = false;
            }
            Move::LogUp => self.log().up = true,
            Move::Trim => {
                self.budget.trims -= 1;
                self.log().first = self.log.expired(self.clock, self.settings.log_retention);
            }
            Move::AdvanceClock { step } => {
                self.budget.clock_steps = &self.budget.clock_steps[1..];
                self.clock += step;
            }
        }
    }

    fn submit(&mut self, call: usize, side: usize) {
        let digest = self.digest(self.calls[call].body);
        let now = Millis(self.clock);
        let settings = Rc::clone(&self.settings);
        let s = self.side(side);
        let request = Call {
            key: &settings.key,
            digest,
            now,
            deadline: now + Millis(CALL_TIMEOUT),
        };
        match s.ledger.admit(&request) {
            Admission::Claim(intent) => {
                let attempt = intent.attempt.clone();
                s.outbox.push(Record::Intent(intent));
                self.attempts.insert(attempt.clone(), call);
                self.calls[call].progress = Progress::Open { side, attempt };
            }
            Admission::Replay(outcome) => {
                let result = CallResult::Replay(response_call(outcome));
                self.end_call(call, result);
            }
            Admission::Refuse(reason) => self.refuse(call, side, reason),
        }
    }

    fn refuse(&mut self, call: usize, side: usize, reason: Reason) {
        let frees = self.has_mutation(Mutation::AbandonForeign) && reason == Reason::KeyUnknown;
        if frees && self.sides[side].outbox.is_empty() {
            return self.abandon_foreign(side);
        }
        self.end_call(call, CallResult::NotRun);
    }

    // Abandons all intents in the log, also those of other sides, so that the call can be made
    // again.
    fn abandon_foreign(&mut self, side: usize) {
        let entries = self.log.entries.iter();
        let records = entries.flat_map(|e| e.batch.iter());
        let abandons: Vec<Record> = records.filter_map(abandon).collect();
        self.side(side).outbox.extend(abandons);
    }

    fn start_append(&mut self, side: usize) {
        let batch = self.next_batch(side);
        let s = self.side(side);
        s.outbox.clear();
        s.in_flight = Some(batch);
    }

    fn finish_append(&mut self, side: usize) {
        let Some(batch) = self.side(side).in_flight.take() else {
            return;
        };
        self.append(Rc::clone(&batch));
        self.side(side).confirmed_end = self.log.end();
        if self.has_mutation(Mutation::SendBeforeReadBack) {
            batch.iter().for_each(|r| self.send_unchecked(r));
        }
    }

    fn append(&mut self, batch: Batch) {
        let at = self.clock;
        self.log().append(at, batch);
    }

    fn lose_append_reply(&mut self, side: usize) {
        self.budget.lost_replies -= 1;
        let Some(batch) = self.side(side).in_flight.take() else {
            return;
        };
        if self.has_mutation(Mutation::DenyOnLostReply) {
            for record in batch.iter().filter(|r| is_intent(r)) {
                let call = self.attempts[record.attempt()];
                self.end_call(call, CallResult::NotRun);
            }
        }
        self.orphaned_appends.push(batch);
    }

    fn read(&mut self, side: usize) {
        let next = self.sides[side].ledger.next_offset();
        let Some(record) = self.log.read_from(next) else {
            return self.skip_trimmed(side);
        };
        for event in self.side(side).ledger.apply(&record) {
            self.handle_event(side, event);
        }
        if self.has_mutation(Mutation::ResendAfterRestart) {
            self.resend(side, record.offset);
        }
    }

    // All entries that this side has not read were trimmed.
    fn skip_trimmed(&mut self, side: usize) {
        let first = self.log.first as u64;
        for event in self.side(side).ledger.handle_trim(first) {
            self.handle_event(side, event);
        }
    }

    fn resend(&mut self, side: usize, offset: u64) {
        let entry = &self.log.entries[usize::try_from(offset).unwrap()];
        let batch = Rc::clone(&entry.batch);
        let owner = self.sides[side].owner.clone();
        for record in batch.iter() {
            let by = &record.attempt().owner;
            if by.vm == owner.vm && by.incarnation < owner.incarnation {
                self.send_unchecked(record);
            }
        }
    }

    fn handle_event(&mut self, side: usize, event: Event) {
        match event {
            Event::Won(_) if self.has_mutation(Mutation::SendBeforeReadBack) => {}
            Event::Won(won) => self.win(side, won),
            Event::Lost { attempt, verdict } => {
                let call = self.attempts[&attempt];
                self.end_call(call, result_of(&verdict));
            }
            Event::Unreadable { offset, .. } => panic!("offset {offset} can't be read"),
        }
    }

    fn win(&mut self, side: usize, won: SendPermit) {
        let call = self.attempts[won.attempt()];
        if self.attempt(call).is_some() {
            self.side(side).won.insert(call, won);
            return;
        }
        // Reached only by the mutation that answers "not run" without abandoning the attempt.
        assert!(self.has_mutation(Mutation::DenyOnLostReply));
        let attempt = won.attempt().clone();
        let now = Millis(self.clock);
        if self.side(side).ledger.mark_sent(won, now).is_ok() {
            self.record_effect(call, attempt);
        }
    }

    fn send(&mut self, call: usize) {
        let Some((side, _)) = self.attempt(call) else {
            return;
        };
        let late = self.has_mutation(Mutation::SendAfterDeadline);
        let now = if late { Millis(0) } else { Millis(self.clock) };
        let s = self.side(side);
        let Some(won) = s.won.remove(&call) else {
            return;
        };
        let attempt = won.attempt().clone();
        match s.ledger.mark_sent(won, now) {
            Ok(sent) => {
                s.sent.insert(call, sent);
                self.record_effect(call, attempt);
            }
            Err(StepError::DeadlinePassed { .. }) => self.end_call(call, CallResult::NotRun),
            Err(e) => panic!("{e}"),
        }
    }

    fn fail_send(&mut self, call: usize) {
        self.budget.failed_sends -= 1;
        let Some((side, _)) = self.attempt(call) else {
            return;
        };
        let now = Millis(self.clock);
        let late = self.has_mutation(Mutation::RevertRealSend);
        let s = self.side(side);
        let Some(won) = s.won.remove(&call) else {
            return;
        };
        let attempt = won.attempt().clone();
        match s.ledger.mark_sent(won, now) {
            Ok(sent) => {
                s.ledger.revert_send(sent).unwrap();
            }
            Err(StepError::DeadlinePassed { .. }) => {}
            Err(e) => panic!("{e}"),
        }
        if late {
            self.record_effect(call, attempt);
        }
        self.end_call(call, CallResult::NotRun);
    }

    fn record_effect(&mut self, call: usize, attempt: Attempt) {
        self.effects.push(Effect {
            call,
            body: self.calls[call].body,
            attempt,
            at: self.clock,
        });
    }

    // A mutation's send, which bypasses the ledger.
    fn send_unchecked(&mut self, record: &Record) {
        let Record::Intent(intent) = record else {
            return;
        };
        let call = self.attempts[&intent.attempt];
        self.record_effect(call, intent.attempt.clone());
    }

    fn receive_response(&mut self, call: usize) {
        let id = u8::try_from(call).unwrap();
        self.finish(call, response_of(id));
        self.end_call(call, CallResult::Ran(id));
    }

    fn lose_response(&mut self, call: usize) {
        self.budget.lost_responses -= 1;
        let outcome = if self.has_mutation(Mutation::InventResponse) {
            response_of(INVENTED_CALL)
        } else {
            Outcome::Unknown
        };
        self.finish(call, outcome);
        self.end_call(call, CallResult::Unknown);
    }

    fn finish(&mut self, call: usize, outcome: Outcome) {
        let Some((side, _)) = self.attempt(call) else {
            return;
        };
        let s = self.side(side);
        if let Some(sent) = s.sent.remove(&call) {
            s.ledger.finish(sent, outcome).unwrap();
        }
    }

    fn abandon_call(&mut self, call: usize) {
        let Some((side, attempt)) = self.attempt(call) else {
            return;
        };
        let attempt = attempt.clone();
        let s = self.side(side);
        let not_run = s.ledger.abandon(&attempt);
        s.won.remove(&call);
        s.outbox.retain(|r| *r.attempt() != attempt);
        assert!(not_run.is_ok() || self.has_mutation(Mutation::DenySent));
        self.end_call(call, CallResult::NotRun);
    }

    fn crash(&mut self, side: usize) {
        self.budget.crashes -= 1;
        let old = &self.sides[side];
        let next = owner(old.owner.vm.as_str(), old.owner.incarnation + 1);
        let new = Side::new(next, self.settings.limits, self.start_range());
        let old = std::mem::replace(self.side(side), new);
        self.orphaned_appends.extend(old.in_flight);
        self.disconnect(side);
    }

    // Range of the log that a side reads from its start.
    pub(crate) fn start_range(&self) -> OffsetRange {
        let mut range = self.log.range();
        if self.has_mutation(Mutation::ReadFromEnd) {
            range.first = range.end;
        }
        range
    }

    // The entry's connection to the side breaks.
    pub(crate) fn disconnect(&mut self, side: usize) {
        let denies = self.has_mutation(Mutation::DenyOnCrash)
            || self.has_mutation(Mutation::CloseWithOpenCalls);
        let result = if denies {
            CallResult::NotRun
        } else {
            CallResult::Unknown
        };
        for call in 0..self.calls.len() {
            if self.attempt(call).is_some_and(|(s, _)| s == side) {
                self.end_call(call, result);
            }
        }
    }
}

fn result_of(verdict: &Verdict) -> CallResult {
    match verdict {
        Verdict::Replay(outcome) => CallResult::Replay(response_call(outcome)),
        Verdict::Refuse(_) => CallResult::NotRun,
    }
}

fn response_of(call: u8) -> Outcome {
    Outcome::Response(RecordedResponse::new(200, Vec::new(), &[call], 1))
}

/// Call whose execution gave the response.
fn response_call(outcome: &Outcome) -> u8 {
    match outcome {
        Outcome::Response(RecordedResponse {
            body: Body::Complete(bytes),
            ..
        }) => bytes[0],
        other => panic!("replayed {other:?}"),
    }
}

fn is_intent(record: &Record) -> bool {
    matches!(record, Record::Intent(_))
}

fn abandon(record: &Record) -> Option<Record> {
    let Record::Intent(intent) = record else {
        return None;
    };
    Some(Record::Abandon(Abandon {
        attempt: intent.attempt.clone(),
        key: intent.key.clone(),
    }))
}
