//! Moves of the small world. Each is one step of a side, a caller, the log or the clock.

use std::rc::Rc;

use pumicecleat_ledger::{
    Abandon, Admission, Attempt, Body, Call, Event, OffsetRange, Outcome, Record, RecordedResponse,
    SendPermit, StepError, Verdict,
};
use pumicecleat_types::{Millis, Reason};

use crate::log::Batch;
use crate::side::Side;
use crate::world::{Effect, Progress, Slip, Told, WAIT, World, owner};

const MADE_UP: u8 = 99;

/// Move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// A call reaches a side.
    Submit { call: usize, side: usize },
    /// A side starts an append.
    Flush { side: usize },
    /// The append takes effect, and its reply comes.
    Land { side: usize },
    /// The side stops waiting for the reply; the append may still take effect.
    Cut { side: usize },
    /// A stray append takes effect.
    StrayLand { stray: usize },
    /// A side reads one entry.
    Read { side: usize },
    /// A side sends a won call; the upstream does it.
    Send { call: usize },
    /// A side finds that no byte of a won call left: the upstream has seen nothing.
    Miss { call: usize },
    /// The answer reaches the side.
    Answer { call: usize },
    /// The answer is lost.
    LoseAnswer { call: usize },
    /// A side gives up an attempt that wasn't sent.
    Void { call: usize },
    /// A side stops; another incarnation starts.
    Crash { side: usize },
    /// A side stops following the stream.
    Close { side: usize },
    /// A side follows the stream again, as another owner.
    Open { side: usize },
    /// The log goes away.
    Down,
    /// The log comes back.
    Up,
    /// The log trims old entries.
    Trim,
    /// Time passes.
    Tick { step: u64 },
}

impl World {
    /// Moves that can be made now.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        (0..self.sides.len()).for_each(|side| self.side_moves(side, &mut moves));
        (0..self.calls.len()).for_each(|call| self.call_moves(call, &mut moves));
        self.stray_moves(&mut moves);
        self.world_moves(&mut moves);
        moves
    }

    /// Whether a move is no fault: nothing else is needed for each call to end.
    pub fn is_fair(&self, step: Move) -> bool {
        match step {
            Move::Flush { .. }
            | Move::Land { .. }
            | Move::Read { .. }
            | Move::Send { .. }
            | Move::Answer { .. }
            | Move::Open { .. }
            | Move::Up => true,
            Move::Void { call } => !self.slips(Slip::NeverGiveUp) && self.is_hopeless(call),
            _ => false,
        }
    }

    /// World after a move.
    pub fn after(&self, step: Move) -> Self {
        let mut next = self.clone();
        next.make(step);
        next
    }

    // The side has read all there is, and the intent wasn't among it.
    fn is_hopeless(&self, call: usize) -> bool {
        let Some((side, attempt)) = self.attempt(call) else {
            return false;
        };
        let s = &self.sides[side];
        let read = s.ledger.next_offset() >= self.log.end();
        read && !s.is_pending(attempt) && !s.won.contains_key(&call)
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
        if self.log.up && s.flight.is_none() && !self.next_batch(side).is_empty() {
            moves.push(Move::Flush { side });
        }
        if s.flight.is_some() {
            if self.log.up {
                moves.push(Move::Land { side });
            }
            if self.budget.cuts > 0 {
                moves.push(Move::Cut { side });
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
            Progress::Told(_) => {}
        }
    }

    // Sides are alike at first, and so are calls with one body: the first call goes to the first
    // side, and like calls go in order. Any other run is one of these under other names.
    fn new_moves(&self, call: usize, moves: &mut Vec<Move>) {
        let body = self.calls[call].body;
        let mut before = self.calls[..call].iter();
        if before.any(|c| c.body == body && c.progress == Progress::New) {
            return;
        }
        let sides = if call == 0 { 1 } else { self.sides.len() };
        let open = (0..sides).filter(|s| self.sides[*s].open);
        moves.extend(open.map(|side| Move::Submit { call, side }));
    }

    fn open_moves(&self, call: usize, side: usize, moves: &mut Vec<Move>) {
        let s = &self.sides[side];
        if s.sent.contains_key(&call) {
            moves.push(Move::Answer { call });
            if self.budget.losses > 0 {
                moves.push(Move::LoseAnswer { call });
            }
            if self.slips(Slip::DenySent) {
                moves.push(Move::Void { call });
            }
            return;
        }
        if s.won.contains_key(&call) {
            moves.push(Move::Send { call });
            if self.budget.misses > 0 {
                moves.push(Move::Miss { call });
            }
        }
        moves.push(Move::Void { call });
    }

    fn stray_moves(&self, moves: &mut Vec<Move>) {
        if self.log.up {
            let strays = 0..self.strays.len();
            moves.extend(strays.map(|stray| Move::StrayLand { stray }));
        }
    }

    fn world_moves(&self, moves: &mut Vec<Move>) {
        if !self.log.up {
            moves.push(Move::Up);
        } else if self.budget.outages > 0 {
            moves.push(Move::Down);
        }
        if self.budget.trims > 0 && self.log.old(self.clock, self.fixed.kept) > self.log.first {
            moves.push(Move::Trim);
        }
        if let Some(&step) = self.budget.ticks.first() {
            moves.push(Move::Tick { step });
        }
    }

    fn next_batch(&self, side: usize) -> Batch {
        self.sides[side].batch(!self.slips(Slip::ForgetOwed))
    }

    fn make(&mut self, step: Move) {
        match step {
            Move::Submit { call, side } => self.submit(call, side),
            Move::Flush { side } => self.flush(side),
            Move::Land { side } => self.land(side),
            Move::Cut { side } => self.cut(side),
            Move::StrayLand { stray } => {
                let batch = self.strays.remove(stray);
                self.append(batch);
            }
            Move::Read { side } => self.read(side),
            Move::Send { call } => self.send(call),
            Move::Miss { call } => self.miss(call),
            Move::Answer { call } => self.answer(call),
            Move::LoseAnswer { call } => self.lose_answer(call),
            Move::Void { call } => self.void(call),
            Move::Crash { side } => self.crash(side),
            Move::Close { side } => self.close(side),
            Move::Open { side } => self.open(side),
            Move::Down => {
                self.budget.outages -= 1;
                self.log().up = false;
            }
            Move::Up => self.log().up = true,
            Move::Trim => {
                self.budget.trims -= 1;
                self.log().first = self.log.old(self.clock, self.fixed.kept);
            }
            Move::Tick { step } => {
                self.budget.ticks = &self.budget.ticks[1..];
                self.clock += step;
            }
        }
    }

    fn submit(&mut self, call: usize, side: usize) {
        let digest = self.digest(self.calls[call].body);
        let now = Millis(self.clock);
        let fixed = Rc::clone(&self.fixed);
        let s = self.side(side);
        let asked = Call {
            key: &fixed.key,
            digest,
            now,
            deadline: now + Millis(WAIT),
        };
        match s.ledger.admit(&asked) {
            Admission::Claim(intent) => {
                let attempt = intent.attempt.clone();
                s.outbox.push(Record::Intent(intent));
                self.attempts.insert(attempt.clone(), call);
                self.calls[call].progress = Progress::Open { side, attempt };
            }
            Admission::Replay(outcome) => {
                let told = Told::Replay(author(outcome));
                self.tell(call, told);
            }
            Admission::Refuse(reason) => self.refuse(call, side, reason),
        }
    }

    fn refuse(&mut self, call: usize, side: usize, reason: Reason) {
        let frees = self.slips(Slip::TakeOver) && reason == Reason::KeyUnknown;
        if frees && self.sides[side].outbox.is_empty() {
            return self.take_over(side);
        }
        self.tell(call, Told::NotRun);
    }

    // Frees the key of an attempt that another side holds; the call can then be made again.
    fn take_over(&mut self, side: usize) {
        let entries = self.log.entries.iter();
        let records = entries.flat_map(|e| e.batch.iter());
        let abandons: Vec<Record> = records.filter_map(abandon).collect();
        self.side(side).outbox.extend(abandons);
    }

    fn flush(&mut self, side: usize) {
        let batch = self.next_batch(side);
        let s = self.side(side);
        s.outbox.clear();
        s.flight = Some(batch);
    }

    fn land(&mut self, side: usize) {
        let Some(batch) = self.side(side).flight.take() else {
            return;
        };
        self.append(Rc::clone(&batch));
        self.side(side).landed = self.log.end();
        if self.slips(Slip::SendUnread) {
            batch.iter().for_each(|r| self.send_unasked(r));
        }
    }

    fn append(&mut self, batch: Batch) {
        let at = self.clock;
        self.log().append(at, batch);
    }

    fn cut(&mut self, side: usize) {
        self.budget.cuts -= 1;
        let Some(batch) = self.side(side).flight.take() else {
            return;
        };
        if self.slips(Slip::DenyOnCut) {
            for record in batch.iter().filter(|r| is_intent(r)) {
                let call = self.attempts[record.attempt()];
                self.tell(call, Told::NotRun);
            }
        }
        self.strays.push(batch);
    }

    fn read(&mut self, side: usize) {
        let next = self.sides[side].ledger.next_offset();
        let Some(record) = self.log.after(next) else {
            return self.skip(side);
        };
        for event in self.side(side).ledger.apply(&record) {
            self.meet(side, event);
        }
        if self.slips(Slip::ResendOpen) {
            self.resend(side, record.offset);
        }
    }

    // Nothing is kept of what this side has yet to read.
    fn skip(&mut self, side: usize) {
        let first = self.log.first as u64;
        for event in self.side(side).ledger.handle_trim(first) {
            self.meet(side, event);
        }
    }

    fn resend(&mut self, side: usize, offset: u64) {
        let entry = &self.log.entries[usize::try_from(offset).unwrap()];
        let batch = Rc::clone(&entry.batch);
        let owner = self.sides[side].owner.clone();
        for record in batch.iter() {
            let by = &record.attempt().owner;
            if by.vm == owner.vm && by.incarnation < owner.incarnation {
                self.send_unasked(record);
            }
        }
    }

    fn meet(&mut self, side: usize, event: Event) {
        match event {
            Event::Won(_) if self.slips(Slip::SendUnread) => {}
            Event::Won(won) => self.win(side, won),
            Event::Lost { attempt, verdict } => {
                let call = self.attempts[&attempt];
                self.tell(call, told(&verdict));
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
        // Only a driver that denied a call without voiding it gets here.
        assert!(self.slips(Slip::DenyOnCut));
        let attempt = won.attempt().clone();
        let now = Millis(self.clock);
        if self.side(side).ledger.mark_sent(won, now).is_ok() {
            self.affect(call, attempt);
        }
    }

    fn send(&mut self, call: usize) {
        let Some((side, _)) = self.attempt(call) else {
            return;
        };
        let late = self.slips(Slip::SendLate);
        let now = if late { Millis(0) } else { Millis(self.clock) };
        let s = self.side(side);
        let Some(won) = s.won.remove(&call) else {
            return;
        };
        let attempt = won.attempt().clone();
        match s.ledger.mark_sent(won, now) {
            Ok(sent) => {
                s.sent.insert(call, sent);
                self.affect(call, attempt);
            }
            Err(StepError::DeadlinePassed { .. }) => self.tell(call, Told::NotRun),
            Err(e) => panic!("{e}"),
        }
    }

    fn miss(&mut self, call: usize) {
        self.budget.misses -= 1;
        let Some((side, _)) = self.attempt(call) else {
            return;
        };
        let now = Millis(self.clock);
        let late = self.slips(Slip::MissSent);
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
            self.affect(call, attempt);
        }
        self.tell(call, Told::NotRun);
    }

    fn affect(&mut self, call: usize, attempt: Attempt) {
        self.effects.push(Effect {
            call,
            body: self.calls[call].body,
            attempt,
            at: self.clock,
        });
    }

    // A mutant's send, which asks no ledger.
    fn send_unasked(&mut self, record: &Record) {
        let Record::Intent(intent) = record else {
            return;
        };
        let call = self.attempts[&intent.attempt];
        self.affect(call, intent.attempt.clone());
    }

    fn answer(&mut self, call: usize) {
        let id = u8::try_from(call).unwrap();
        self.finish(call, answer_of(id));
        self.tell(call, Told::Ran(id));
    }

    fn lose_answer(&mut self, call: usize) {
        self.budget.losses -= 1;
        let outcome = if self.slips(Slip::InventAnswer) {
            answer_of(MADE_UP)
        } else {
            Outcome::Unknown
        };
        self.finish(call, outcome);
        self.tell(call, Told::Unknown);
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

    fn void(&mut self, call: usize) {
        let Some((side, attempt)) = self.attempt(call) else {
            return;
        };
        let attempt = attempt.clone();
        let s = self.side(side);
        let not_run = s.ledger.abandon(&attempt);
        s.won.remove(&call);
        s.outbox.retain(|r| *r.attempt() != attempt);
        assert!(not_run.is_ok() || self.slips(Slip::DenySent));
        self.tell(call, Told::NotRun);
    }

    fn crash(&mut self, side: usize) {
        self.budget.crashes -= 1;
        let old = &self.sides[side];
        let next = owner(old.owner.vm.as_str(), old.owner.incarnation + 1);
        let new = Side::new(next, self.fixed.limits, self.start_span());
        let old = std::mem::replace(self.side(side), new);
        self.strays.extend(old.flight);
        self.hang_up(side);
    }

    // What a side that starts to read finds.
    pub(crate) fn start_span(&self) -> OffsetRange {
        let mut span = self.log.span();
        if self.slips(Slip::ReadFromEnd) {
            span.first = span.end;
        }
        span
    }

    // The entry sees its connection to the side break.
    pub(crate) fn hang_up(&mut self, side: usize) {
        let denies = self.slips(Slip::DenyOnCrash) || self.slips(Slip::CloseBusy);
        let told = if denies { Told::NotRun } else { Told::Unknown };
        for call in 0..self.calls.len() {
            if self.attempt(call).is_some_and(|(s, _)| s == side) {
                self.tell(call, told);
            }
        }
    }
}

fn told(verdict: &Verdict) -> Told {
    match verdict {
        Verdict::Replay(outcome) => Told::Replay(author(outcome)),
        Verdict::Refuse(_) => Told::NotRun,
    }
}

fn answer_of(call: u8) -> Outcome {
    Outcome::Response(RecordedResponse::new(200, Vec::new(), &[call], 1))
}

/// Call that an answer came of.
fn author(outcome: &Outcome) -> u8 {
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
