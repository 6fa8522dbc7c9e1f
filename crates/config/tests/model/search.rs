//! Breadth-first search of all states, so that the trace of a violation is as short as possible.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::moves::Move;
use crate::world::{Defect, World};

/// Result of a search.
pub struct Report {
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    /// Violated invariant, and the moves that lead there.
    pub violation: Option<(&'static str, Vec<Move>)>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (states, steps, depth) = (self.states, self.steps, self.depth);
        write!(f, "{states} states, {steps} moves, depth {depth}")
    }
}

/// Searches all reachable states.
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
    /// Interned parts of states, with their numbers.
    parts: BTreeMap<Vec<u8>, u32>,
    /// Visited states, as the numbers of their parts.
    visited: BTreeSet<Vec<u32>>,
    /// Parent of each state, and the move from it.
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
        if let Some(rule) = world.violation() {
            return Some(rule);
        }
        let mut ended = true;
        for step in world.moves() {
            self.steps += 1;
            let after = world.after(step);
            if world.is_fair(step) {
                ended = false;
                let rises = after.progress() > world.progress();
                assert!(rises || world.defect != Defect::None, "{step:?} can loop");
            }
            self.add(after, Some((id, step)));
        }
        // Only faults could lead to another state.
        let stuck = ended && world.checks_rule("L1") && !world.is_converged();
        stuck.then_some("L1")
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

    fn report(&self, violation: Option<(&'static str, Vec<Move>)>) -> Report {
        let states = self.origins.len();
        Report {
            states,
            steps: self.steps,
            depth: self.trace(states - 1).len(),
            violation,
        }
    }
}
