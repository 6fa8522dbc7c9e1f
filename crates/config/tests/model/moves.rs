//! Moves of the small world. Each is one step of a reader, an operator or the log.

use std::rc::Rc;

use crate::reader::Reader;
use crate::world::{Phase, Proposal, Slip, World};

const GARBAGE: &[u8] = b"garbage";

/// Move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// An operator makes a change from what a reader shows.
    Make { operator: usize, reader: usize },
    /// Its append takes effect, and the reply comes.
    Append { operator: usize },
    /// The reply is lost, of an append that takes effect at once or perhaps later.
    Lose { operator: usize, lands: bool },
    /// An append given up on takes effect.
    Land { stray: usize },
    /// A reader tells an operator the verdict.
    Tell { operator: usize, reader: usize },
    /// A reader reads one record.
    Read { reader: usize },
    /// A reader takes in what a peer holds.
    Adopt { reader: usize, peer: usize },
    /// A reader appends its state.
    Snapshot { reader: usize },
    /// Something else is appended.
    Garbage,
    /// The log goes away.
    Down,
    /// The log comes back.
    Up,
    /// The log drops records.
    Trim { first: u64 },
}

impl World {
    /// Moves that can be made now.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        (0..self.operators.len()).for_each(|o| self.operator_moves(o, &mut moves));
        (0..self.readers.len()).for_each(|r| self.reader_moves(r, &mut moves));
        self.log_moves(&mut moves);
        moves
    }

    /// Whether a move is no fault: nothing else is needed for all to end.
    pub fn is_fair(&self, step: Move) -> bool {
        match step {
            Move::Append { operator } => {
                let again = self.operators[operator].phase == Phase::Unsure;
                !again || self.slip != Slip::GiveUp
            }
            Move::Adopt { reader, .. } => {
                self.is_behind_gap(&self.readers[reader]) && self.slip != Slip::AskNone
            }
            Move::Tell { .. } | Move::Read { .. } | Move::Up => true,
            _ => false,
        }
    }

    /// What each fair move raises, so that fair moves come to an end.
    pub fn progress(&self) -> (u64, u64, u64, usize, bool) {
        let next = self.readers.iter().map(|r| r.fold.next()).sum();
        let read = self.readers.iter().map(|r| r.cursor).sum();
        let operators = self.operators.iter();
        let told = operators.filter(|o| matches!(o.phase, Phase::Told(_)));
        (self.log.end(), next, read, told.count(), self.log.up)
    }

    /// World after a move.
    pub fn after(&self, step: Move) -> Self {
        let mut next = self.clone();
        next.make(step);
        next
    }

    fn operator_moves(&self, operator: usize, moves: &mut Vec<Move>) {
        let o = &self.operators[operator];
        match o.phase {
            Phase::Idle | Phase::Told(_) if o.made < self.budget.changes[operator] => {
                self.make_moves(operator, moves);
            }
            Phase::Made | Phase::Unsure => {
                self.append_moves(operator, moves);
                self.tell_moves(operator, moves);
            }
            Phase::Appended => self.tell_moves(operator, moves),
            _ => {}
        }
    }

    fn make_moves(&self, operator: usize, moves: &mut Vec<Move>) {
        let readers = self.distinct(|r| {
            let ready = r.fold.revision() > 0 || !self.is_behind_gap(r);
            ready.then_some((r.fact.revision, r.fact.digest))
        });
        moves.extend(readers.map(|reader| Move::Make { operator, reader }));
    }

    /// One reader for each thing that readers show.
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
            let fates = [true, false].into_iter().filter(|&lands| up || !lands);
            moves.extend(fates.map(|lands| Move::Lose { operator, lands }));
        }
    }

    fn tell_moves(&self, operator: usize, moves: &mut Vec<Move>) {
        let id = &self.last(operator).change.id;
        let readers = self.distinct(|r| r.fold.verdict(id).cloned());
        moves.extend(readers.map(|reader| Move::Tell { operator, reader }));
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

    // The log keeps a record until some reader has read it.
    fn log_moves(&self, moves: &mut Vec<Move>) {
        if !self.log.up {
            moves.push(Move::Up);
            return;
        }
        if self.budget.outages > 0 {
            moves.push(Move::Down);
        }
        if self.budget.garbage > 0 {
            moves.push(Move::Garbage);
        }
        moves.extend((0..self.strays.len()).map(|stray| Move::Land { stray }));
        if self.budget.trims > 0 {
            let read = self.readers.iter().map(|r| r.fold.next()).max();
            let firsts = self.log.first + 1..=read.unwrap_or(0);
            moves.extend(firsts.map(|first| Move::Trim { first }));
        }
    }

    fn make(&mut self, step: Move) {
        match step {
            Move::Make { operator, reader } => self.propose(operator, reader),
            Move::Append { operator } => {
                let data = self.last(operator).data.clone();
                self.append(data);
                self.operators[operator].phase = Phase::Appended;
            }
            Move::Lose { operator, lands } => self.lose(operator, lands),
            Move::Land { stray } => {
                let change = self.strays.remove(stray);
                self.append(change.data.clone());
            }
            Move::Tell { operator, reader } => self.tell(operator, reader),
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
            Move::Down => {
                self.budget.outages -= 1;
                Rc::make_mut(&mut self.log).up = false;
            }
            Move::Up => Rc::make_mut(&mut self.log).up = true,
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
        o.phase = Phase::Made;
        o.last = Some(Rc::clone(&change));
        self.proposals.push(change);
    }

    fn last(&self, operator: usize) -> Rc<Proposal> {
        let last = &self.operators[operator].last;
        Rc::clone(last.as_ref().expect("a change was made"))
    }

    fn lose(&mut self, operator: usize, lands: bool) {
        self.budget.losses -= 1;
        let last = self.last(operator);
        if lands {
            self.append(last.data.clone());
        } else {
            self.strays.push(Rc::clone(&last));
        }
        self.operators[operator].phase = Phase::Unsure;
        if self.slip == Slip::Renew {
            let renewed = Rc::new(last.renewed());
            self.operators[operator].last = Some(Rc::clone(&renewed));
            self.proposals.push(renewed);
        }
    }

    fn tell(&mut self, operator: usize, reader: usize) {
        let id = &self.last(operator).change.id;
        if let Some(verdict) = self.readers[reader].fold.verdict(id) {
            self.operators[operator].phase = Phase::Told(verdict.clone());
        }
    }

    fn read(&mut self, reader: usize) {
        let first = self.log.first;
        let mut offset = self.readers[reader].cursor.max(first);
        if self.slip == Slip::WakeAtEnd {
            offset = self.log.end() - 1;
        }
        let reader = Rc::make_mut(&mut self.readers[reader]);
        match self.log.records.get(usize::try_from(offset).unwrap()) {
            Some(record) => reader.read(record, first, self.slip),
            None => reader.skip(first),
        }
    }
}
