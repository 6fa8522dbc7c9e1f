//! Transitions of the model. Each is one step of a reader, an operator or the log.

use std::rc::Rc;

use crate::reader::Reader;
use crate::world::{Defect, Phase, Proposal, World};

const GARBAGE: &[u8] = b"garbage";

/// Transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// An operator prepares a change based on the state of a reader.
    Propose { operator: usize, reader: usize },
    /// Its append takes effect, and it receives the reply.
    Append { operator: usize },
    /// The reply to an append is lost; the append takes effect now, or may do so later.
    LoseReply { operator: usize, takes_effect: bool },
    /// An append whose reply was lost takes effect.
    ApplyLate { index: usize },
    /// A reader reports the verdict to an operator.
    ReportVerdict { operator: usize, reader: usize },
    /// A reader reads one record.
    Read { reader: usize },
    /// A reader adopts the snapshot of a peer.
    Adopt { reader: usize, peer: usize },
    /// A reader appends a snapshot of its state.
    Snapshot { reader: usize },
    /// Bytes that are not a record are appended.
    Garbage,
    /// The log becomes unavailable.
    LogDown,
    /// The log becomes available again.
    LogUp,
    /// The log trims records before `first`.
    Trim { first: u64 },
}

impl World {
    /// Moves that are possible in this state.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        (0..self.operators.len()).for_each(|o| self.operator_moves(o, &mut moves));
        (0..self.readers.len()).for_each(|r| self.reader_moves(r, &mut moves));
        self.log_moves(&mut moves);
        moves
    }

    /// Whether a move is not a fault. Fair moves alone must lead to a converged state.
    pub fn is_fair(&self, step: Move) -> bool {
        match step {
            Move::Append { operator } => {
                let again = self.operators[operator].phase == Phase::OutcomeUnknown;
                !again || self.defect != Defect::GiveUp
            }
            Move::Adopt { reader, .. } => {
                self.is_behind_gap(&self.readers[reader]) && self.defect != Defect::AskNone
            }
            Move::ReportVerdict { .. } | Move::Read { .. } | Move::LogUp => true,
            _ => false,
        }
    }

    /// Measure that each fair move increases, so that sequences of fair moves terminate.
    pub fn progress(&self) -> (u64, u64, u64, usize, bool) {
        let next = self.readers.iter().map(|r| r.fold.next()).sum();
        let read = self.readers.iter().map(|r| r.cursor).sum();
        let operators = self.operators.iter();
        let answered = operators.filter(|o| matches!(o.phase, Phase::Answered(_)));
        (self.log.end(), next, read, answered.count(), self.log.up)
    }

    /// Returns the state after a move.
    pub fn after(&self, step: Move) -> Self {
        let mut next = self.clone();
        next.apply_move(step);
        next
    }

    fn operator_moves(&self, operator: usize, moves: &mut Vec<Move>) {
        let o = &self.operators[operator];
        match o.phase {
            Phase::Idle | Phase::Answered(_) if o.made < self.budget.changes[operator] => {
                self.propose_moves(operator, moves);
            }
            Phase::Prepared | Phase::OutcomeUnknown => {
                self.append_moves(operator, moves);
                self.report_moves(operator, moves);
            }
            Phase::Appended => self.report_moves(operator, moves),
            _ => {}
        }
    }

    fn propose_moves(&self, operator: usize, moves: &mut Vec<Move>) {
        let readers = self.distinct(|r| {
            let ready = r.fold.revision() > 0 || !self.is_behind_gap(r);
            ready.then_some((r.visible_state.revision, r.visible_state.digest))
        });
        moves.extend(readers.map(|reader| Move::Propose { operator, reader }));
    }

    /// One reader for each distinct value of `show`.
    fn distinct<T: PartialEq>(
        &self,
        show: impl Fn(&Reader) -> Option<T>,
    ) -> impl Iterator<Item = usize> {
        let shown: Vec<_> = self.readers.iter().map(|r| show(r)).collect();
        (0..shown.len()).filter(move |&r| shown[r].is_some() && !shown[..r].contains(&shown[r]))
    }

    fn append_moves(&self, operator: usize, moves: &mut Vec<Move>) {
        let up = self.log.up;
        if up {
            moves.push(Move::Append { operator });
        }
        if self.budget.losses > 0 {
            let fates = [true, false]
                .into_iter()
                .filter(|&takes_effect| up || !takes_effect);
            moves.extend(fates.map(|takes_effect| Move::LoseReply {
                operator,
                takes_effect,
            }));
        }
    }

    fn report_moves(&self, operator: usize, moves: &mut Vec<Move>) {
        let id = &self.last(operator).change.id;
        let readers = self.distinct(|r| r.fold.verdict(id).cloned());
        moves.extend(readers.map(|reader| Move::ReportVerdict { operator, reader }));
    }

    fn reader_moves(&self, reader: usize, moves: &mut Vec<Move>) {
        let r = &self.readers[reader];
        if self.log.up && r.cursor < self.log.end() {
            moves.push(Move::Read { reader });
        }
        if self.log.up && self.budget.snapshots > 0 && r.fold.next() > 0 {
            moves.push(Move::Snapshot { reader });
        }
        if self.log.up && !self.is_behind_gap(r) {
            return;
        }
        for (peer, p) in self.readers.iter().enumerate() {
            if p.fold.revision() > 0 && p.fold.next() > r.fold.next() {
                moves.push(Move::Adopt { reader, peer });
            }
        }
    }

    // A record is trimmed only after some reader has read it.
    fn log_moves(&self, moves: &mut Vec<Move>) {
        if !self.log.up {
            moves.push(Move::LogUp);
            return;
        }
        if self.budget.outages > 0 {
            moves.push(Move::LogDown);
        }
        if self.budget.garbage > 0 {
            moves.push(Move::Garbage);
        }
        moves.extend((0..self.late_appends.len()).map(|index| Move::ApplyLate { index }));
        if self.budget.trims > 0 {
            let read = self.readers.iter().map(|r| r.fold.next()).max();
            let firsts = self.log.first + 1..=read.unwrap_or(0);
            moves.extend(firsts.map(|first| Move::Trim { first }));
        }
    }

    fn apply_move(&mut self, step: Move) {
        match step {
            Move::Propose { operator, reader } => self.propose(operator, reader),
            Move::Append { operator } => {
                let data = self.last(operator).data.clone();
                self.append(data);
                self.operators[operator].phase = Phase::Appended;
            }
            Move::LoseReply {
                operator,
                takes_effect,
            } => self.lose_reply(operator, takes_effect),
            Move::ApplyLate { index } => {
                let change = self.late_appends.remove(index);
                self.append(change.data.clone());
            }
            Move::ReportVerdict { operator, reader } => self.report_verdict(operator, reader),
            Move::Read { reader } => self.read(reader),
            Move::Adopt { reader, peer } => {
                let bytes = self.readers[peer].fold.snapshot_bytes();
                let first = self.log.first;
                Rc::make_mut(&mut self.readers[reader]).adopt(&bytes, first);
            }
            Move::Snapshot { reader } => {
                self.budget.snapshots -= 1;
                self.append(self.readers[reader].fold.snapshot_record());
            }
            Move::Garbage => {
                self.budget.garbage -= 1;
                self.append(GARBAGE.to_vec());
            }
            Move::LogDown => {
                self.budget.outages -= 1;
                Rc::make_mut(&mut self.log).up = false;
            }
            Move::LogUp => Rc::make_mut(&mut self.log).up = true,
            Move::Trim { first } => {
                self.budget.trims -= 1;
                Rc::make_mut(&mut self.log).first = first;
            }
        }
    }

    fn append(&mut self, data: Vec<u8>) {
        Rc::make_mut(&mut self.log).append(data);
    }

    fn propose(&mut self, operator: usize, reader: usize) {
        let o = &mut self.operators[operator];
        let intent = (operator, o.made);
        let change = Rc::new(Proposal::make(intent, &self.readers[reader].fold));
        o.made += 1;
        o.phase = Phase::Prepared;
        o.last = Some(Rc::clone(&change));
        self.proposals.push(change);
    }

    fn last(&self, operator: usize) -> Rc<Proposal> {
        let last = &self.operators[operator].last;
        Rc::clone(last.as_ref().expect("a change was made"))
    }

    fn lose_reply(&mut self, operator: usize, takes_effect: bool) {
        self.budget.losses -= 1;
        let last = self.last(operator);
        if takes_effect {
            self.append(last.data.clone());
        } else {
            self.late_appends.push(Rc::clone(&last));
        }
        self.operators[operator].phase = Phase::OutcomeUnknown;
        if self.defect == Defect::Renew {
            let with_new_id = Rc::new(last.with_new_id());
            self.operators[operator].last = Some(Rc::clone(&with_new_id));
            self.proposals.push(with_new_id);
        }
    }

    fn report_verdict(&mut self, operator: usize, reader: usize) {
        let id = &self.last(operator).change.id;
        if let Some(verdict) = self.readers[reader].fold.verdict(id) {
            self.operators[operator].phase = Phase::Answered(verdict.clone());
        }
    }

    fn read(&mut self, reader: usize) {
        let first = self.log.first;
        let mut offset = self.readers[reader].cursor.max(first);
        if self.defect == Defect::WakeAtEnd {
            offset = self.log.end() - 1;
        }
        let reader = Rc::make_mut(&mut self.readers[reader]);
        match self.log.records.get(usize::try_from(offset).unwrap()) {
            Some(record) => reader.read(record, first, self.defect),
            None => reader.skip(first),
        }
    }
}
