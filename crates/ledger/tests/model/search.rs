//! Breadth-first search of all states, so that a breach comes with a shortest trace.
//!
//! States are told apart exactly. Each part of a state (log, side, the rest) is kept once, and a
//! state is the numbers of its parts, as Spin's collapse compression does it.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use crate::moves::Move;
use crate::world::World;

const PARTS: usize = 4;

/// A state, as the numbers of its parts.
type Id = [u32; PARTS];

/// A broken invariant.
#[derive(Debug)]
pub struct Breach {
    pub rule: &'static str,
    pub trace: Vec<Move>,
}

/// What a search found.
#[derive(Debug)]
pub struct Report {
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    pub breach: Option<Breach>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            states,
            steps,
            depth,
            breach,
        } = self;
        write!(f, "{states} states, {steps} moves, depth {depth}")?;
        match breach {
            Some(b) => write!(f, ", {} broken by {:?}", b.rule, b.trace),
            None => Ok(()),
        }
    }
}

/// Searches all states that can be reached.
pub fn explore(start: World) -> Report {
    let mut search = Search::default();
    let parts = search.parts.all(&start);
    search.add(start, parts, None);
    while let Some(node) = search.queue.pop_front() {
        let id = node.id;
        if let Some(rule) = search.visit(&node) {
            return search.report(Some(Breach {
                rule,
                trace: search.trace(id),
            }));
        }
    }
    let loops = search.fair_loop();
    let breach = loops.map(|id| Breach {
        rule: "L1",
        trace: search.trace(id),
    });
    search.report(breach)
}

struct Origin {
    parent: usize,
    step: Move,
    depth: usize,
}

struct Node {
    id: usize,
    parts: Id,
    world: World,
}

#[derive(Default)]
struct Search {
    parts: Parts,
    known: BTreeMap<Id, usize>,
    origins: Vec<Option<Origin>>,
    queue: VecDeque<Node>,
    fair: Vec<Vec<usize>>,
    steps: usize,
}

impl Search {
    fn add(&mut self, world: World, parts: Id, from: Option<(usize, Move)>) -> usize {
        if let Some(id) = self.known.get(&parts) {
            return *id;
        }
        let id = self.origins.len();
        self.known.insert(parts, id);
        let origin = from.map(|(parent, step)| Origin {
            parent,
            step,
            depth: self.depth(parent) + 1,
        });
        self.origins.push(origin);
        self.fair.push(Vec::new());
        self.queue.push_back(Node { id, parts, world });
        id
    }

    fn visit(&mut self, node: &Node) -> Option<&'static str> {
        let (id, world) = (node.id, &node.world);
        if let Some(rule) = world.breach() {
            return Some(rule);
        }
        for step in world.moves() {
            self.steps += 1;
            let after = world.after(step);
            let parts = self.parts.changed(&after, node);
            let next = self.add(after, parts, Some((id, step)));
            if world.is_fair(step) {
                self.fair[id].push(next);
            }
        }
        if !self.fair[id].is_empty() {
            return None;
        }
        // Only faults could change anything here.
        if world.minds("L1") && !world.is_answered() {
            return Some("L1");
        }
        let settled = world.is_settled() || !world.minds("L2");
        (!settled).then_some("L2")
    }

    /// A state on a loop of fair moves, if there is one: then a call might never end.
    fn fair_loop(&self) -> Option<usize> {
        let mut before = vec![0_usize; self.fair.len()];
        self.fair.iter().flatten().for_each(|&to| before[to] += 1);
        let mut free: Vec<usize> = (0..before.len()).filter(|&id| before[id] == 0).collect();
        while let Some(id) = free.pop() {
            for &to in &self.fair[id] {
                before[to] -= 1;
                if before[to] == 0 {
                    free.push(to);
                }
            }
        }
        before.iter().position(|&n| n > 0)
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

    fn report(&self, breach: Option<Breach>) -> Report {
        let states = self.origins.len();
        Report {
            states,
            steps: self.steps,
            depth: self.depth(states - 1),
            breach,
        }
    }
}

/// Parts seen so far, by all that their `Hash` feeds in.
#[derive(Default)]
struct Parts(BTreeMap<Vec<u8>, u32>);

impl Parts {
    fn all(&mut self, world: &World) -> Id {
        [
            self.part(&world.log),
            self.part(&world.sides[0]),
            self.part(&world.sides[1]),
            self.rest(world),
        ]
    }

    /// Parts of a successor; those that the move left alone are still shared.
    fn changed(&mut self, world: &World, from: &Node) -> Id {
        let old = &from.world;
        let mut id = from.parts;
        if !Rc::ptr_eq(&world.log, &old.log) {
            id[0] = self.part(&world.log);
        }
        for side in 0..world.sides.len() {
            if !Rc::ptr_eq(&world.sides[side], &old.sides[side]) {
                id[side + 1] = self.part(&world.sides[side]);
            }
        }
        id[PARTS - 1] = self.rest(world);
        id
    }

    fn rest(&mut self, world: &World) -> u32 {
        let ghosts = (&world.attempts, &world.effects);
        self.part(&(
            world.clock,
            world.budget,
            &world.strays,
            &world.calls,
            ghosts,
        ))
    }

    fn part(&mut self, part: &impl Hash) -> u32 {
        let mut bytes = Bytes::default();
        part.hash(&mut bytes);
        let next = u32::try_from(self.0.len()).unwrap();
        *self.0.entry(bytes.0).or_insert(next)
    }
}

/// Keeps what it is fed.
#[derive(Default)]
struct Bytes(Vec<u8>);

impl Hasher for Bytes {
    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn finish(&self) -> u64 {
        unreachable!("the bytes are the result")
    }
}
