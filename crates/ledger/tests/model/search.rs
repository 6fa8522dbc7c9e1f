//! Breadth-first search of all reachable states, so that a violation comes with a shortest trace.
//!
//! States are compared exactly, not by hash. Each distinct component (log, side, the rest) is
//! stored once, and a state is the tuple of its components' numbers, as in Spin's collapse
//! compression.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use crate::moves::Move;
use crate::state::State;

const COMPONENTS: usize = 4;

/// A state, as the numbers of its components.
type StateId = [u32; COMPONENTS];

/// A violated invariant and the moves that lead to it.
#[derive(Debug)]
pub struct Violation {
    pub invariant: &'static str,
    pub trace: Vec<Move>,
}

/// Result of a search.
#[derive(Debug)]
pub struct Report {
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    pub violation: Option<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            states,
            steps,
            depth,
            violation,
        } = self;
        write!(f, "{states} states, {steps} moves, depth {depth}")?;
        match violation {
            Some(v) => write!(f, ", {} violated by {:?}", v.invariant, v.trace),
            None => Ok(()),
        }
    }
}

/// Searches all reachable states.
pub fn explore(start: State) -> Report {
    let mut search = Search::default();
    let components = search.components.all(&start);
    search.add(start, components, None);
    while let Some(node) = search.queue.pop_front() {
        let id = node.id;
        if let Some(invariant) = search.visit(&node) {
            return search.report(Some(Violation {
                invariant,
                trace: search.trace(id),
            }));
        }
    }
    let loops = search.fair_loop();
    let violation = loops.map(|id| Violation {
        invariant: "L1",
        trace: search.trace(id),
    });
    search.report(violation)
}

struct Origin {
    parent: usize,
    step: Move,
    depth: usize,
}

struct Node {
    id: usize,
    components: StateId,
    state: State,
}

#[derive(Default)]
struct Search {
    components: Components,
    known: BTreeMap<StateId, usize>,
    origins: Vec<Option<Origin>>,
    queue: VecDeque<Node>,
    fair: Vec<Vec<usize>>,
    steps: usize,
}

impl Search {
    fn add(&mut self, state: State, components: StateId, from: Option<(usize, Move)>) -> usize {
        if let Some(id) = self.known.get(&components) {
            return *id;
        }
        let id = self.origins.len();
        self.known.insert(components, id);
        let origin = from.map(|(parent, step)| Origin {
            parent,
            step,
            depth: self.depth(parent) + 1,
        });
        self.origins.push(origin);
        self.fair.push(Vec::new());
        self.queue.push_back(Node {
            id,
            components,
            state,
        });
        id
    }

    fn visit(&mut self, node: &Node) -> Option<&'static str> {
        let (id, state) = (node.id, &node.state);
        if let Some(invariant) = state.violation() {
            return Some(invariant);
        }
        for step in state.moves() {
            self.steps += 1;
            let successor = state.successor(step);
            let components = self.components.changed(&successor, node);
            let next = self.add(successor, components, Some((id, step)));
            if state.is_fair(step) {
                self.fair[id].push(next);
            }
        }
        if !self.fair[id].is_empty() {
            return None;
        }
        // No fair move is left: only faults could still change this state.
        if state.is_checked("L1") && !state.all_calls_ended() {
            return Some("L1");
        }
        let settled = state.is_every_key_usable() || !state.is_checked("L2");
        (!settled).then_some("L2")
    }

    /// Returns a state on a cycle of fair moves, if there is one: a call might then never end.
    fn fair_loop(&self) -> Option<usize> {
        let mut predecessors = vec![0_usize; self.fair.len()];
        self.fair
            .iter()
            .flatten()
            .for_each(|&to| predecessors[to] += 1);
        let mut roots: Vec<usize> = (0..predecessors.len())
            .filter(|&id| predecessors[id] == 0)
            .collect();
        while let Some(id) = roots.pop() {
            for &to in &self.fair[id] {
                predecessors[to] -= 1;
                if predecessors[to] == 0 {
                    roots.push(to);
                }
            }
        }
        predecessors.iter().position(|&n| n > 0)
    }

    fn depth(&self, id: usize) -> usize {
        self.origins[id].as_ref().map_or(0, |o| o.depth)
    }

    fn trace(&self, mut id: usize) -> Vec<Move> {
        let mut trace = Vec::new();
        while let Some(origin) = &self.origins[id] {
            trace.push(origin.step);
            id = origin.parent;
        }
        trace.reverse();
        trace
    }

    fn report(&self, violation: Option<Violation>) -> Report {
        let states = self.origins.len();
        Report {
            states,
            steps: self.steps,
            depth: self.depth(states - 1),
            violation,
        }
    }
}

/// Components seen so far, keyed by all bytes that their `Hash` feeds to the hasher.
#[derive(Default)]
struct Components(BTreeMap<Vec<u8>, u32>);

impl Components {
    fn all(&mut self, state: &State) -> StateId {
        [
            self.component(&state.log),
            self.component(&state.sides[0]),
            self.component(&state.sides[1]),
            self.rest(state),
        ]
    }

    /// Components of a successor. Those that the move did not change are still shared.
    fn changed(&mut self, state: &State, from: &Node) -> StateId {
        let old = &from.state;
        let mut id = from.components;
        if !Rc::ptr_eq(&state.log, &old.log) {
            id[0] = self.component(&state.log);
        }
        for side in 0..state.sides.len() {
            if !Rc::ptr_eq(&state.sides[side], &old.sides[side]) {
                id[side + 1] = self.component(&state.sides[side]);
            }
        }
        id[COMPONENTS - 1] = self.rest(state);
        id
    }

    fn rest(&mut self, state: &State) -> u32 {
        let history = (&state.attempts, &state.effects);
        self.component(&(
            state.clock,
            state.budget,
            &state.orphaned_appends,
            &state.calls,
            history,
        ))
    }

    fn component(&mut self, component: &impl Hash) -> u32 {
        let mut bytes = RecordingHasher::default();
        component.hash(&mut bytes);
        let next = u32::try_from(self.0.len()).unwrap();
        *self.0.entry(bytes.0).or_insert(next)
    }
}

/// Records all bytes that it is given.
#[derive(Default)]
struct RecordingHasher(Vec<u8>);

impl Hasher for RecordingHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn finish(&self) -> u64 {
        unreachable!("the bytes are the result")
    }
}
