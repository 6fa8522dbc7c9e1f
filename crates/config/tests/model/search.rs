//! Breadth-first search of all states, so that a breach comes with a shortest trace.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::moves::Move;
use crate::world::{Slip, World};

/// What a search found.
pub struct Report {
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    /// Broken invariant, and the moves that lead there.
    pub breach: Option<(&'static str, Vec<Move>)>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (states, steps, depth) = (self.states, self.steps, self.depth);
        write!(f, "{states} states, {steps} moves, depth {depth}")
    }
}

/// Searches all states that can be reached.
pub fn explore(start: World) -> Report {
    let mut search = Search::default();
    search.add(start, None);
    while let Some((id, world)) = search.queue.pop_front() {
        if let Some(rule) = search.visit(id, &world) {
            return search.report(Some((rule, search.trace(id))));
        }
    }
    search.report(None)
}

#[derive(Default)]
struct Search {
    /// Parts of states seen so far.
    parts: BTreeMap<Vec<u8>, u32>,
    /// States seen so far, as the numbers of their parts.
    visited: BTreeSet<Vec<u32>>,
    /// Parent of each state, and the move from there.
    origins: Vec<Option<(usize, Move)>>,
    queue: VecDeque<(usize, World)>,
    steps: usize,
}

impl Search {
    fn add(&mut self, world: World, origin: Option<(usize, Move)>) {
        let rest = world.rest();
        let parts = world.parts().into_iter().chain([&*rest]);
        let key = parts.map(|p| self.part(p)).collect();
        if self.visited.insert(key) {
            self.queue.push_back((self.origins.len(), world));
            self.origins.push(origin);
        }
    }

    fn part(&mut self, part: &[u8]) -> u32 {
        if let Some(number) = self.parts.get(part) {
            return *number;
        }
        let next = u32::try_from(self.parts.len()).unwrap();
        self.parts.insert(part.to_owned(), next);
        next
    }

    fn visit(&mut self, id: usize, world: &World) -> Option<&'static str> {
        if let Some(rule) = world.breach() {
            return Some(rule);
        }
        let mut ended = true;
        for step in world.moves() {
            self.steps += 1;
            let after = world.after(step);
            if world.is_fair(step) {
                ended = false;
                let rises = after.progress() > world.progress();
                assert!(rises || world.slip != Slip::None, "{step:?} can loop");
            }
            self.add(after, Some((id, step)));
        }
        // Only faults could change anything here.
        let unsettled = ended && world.minds("L1") && !world.is_settled();
        unsettled.then_some("L1")
    }

    fn trace(&self, mut id: usize) -> Vec<Move> {
        let mut trace = Vec::new();
        while let Some((parent, step)) = self.origins[id] {
            trace.push(step);
            id = parent;
        }
        trace.reverse();
        trace
    }

    fn report(&self, breach: Option<(&'static str, Vec<Move>)>) -> Report {
        let states = self.origins.len();
        Report {
            states,
            steps: self.steps,
            depth: self.trace(states - 1).len(),
            breach,
        }
    }
}
