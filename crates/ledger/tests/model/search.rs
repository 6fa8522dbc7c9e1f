//! Breadth-first search of all states, so that a breach comes with a shortest trace.
//!
//! States are told apart by 128 bits of hash: at ten million states two of them would be taken
//! for one with a chance below 1e-24.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::moves::Move;
use crate::world::World;

const SEEDS: [u64; 2] = [0x5eed, 0xfeed];

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
    search.add(start, None);
    while let Some((id, world)) = search.queue.pop_front() {
        if let Some(rule) = search.visit(id, &world) {
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

#[derive(Default)]
struct Search {
    known: BTreeMap<u128, usize>,
    origins: Vec<Option<Origin>>,
    queue: VecDeque<(usize, World)>,
    fair: Vec<Vec<usize>>,
    steps: usize,
}

impl Search {
    fn add(&mut self, world: World, from: Option<(usize, Move)>) -> usize {
        let print = fingerprint(&world);
        if let Some(id) = self.known.get(&print) {
            return *id;
        }
        let id = self.origins.len();
        self.known.insert(print, id);
        let origin = from.map(|(parent, step)| Origin {
            parent,
            step,
            depth: self.depth(parent) + 1,
        });
        self.origins.push(origin);
        self.fair.push(Vec::new());
        self.queue.push_back((id, world));
        id
    }

    fn visit(&mut self, id: usize, world: &World) -> Option<&'static str> {
        if let Some(rule) = world.breach() {
            return Some(rule);
        }
        for step in world.moves() {
            self.steps += 1;
            let next = self.add(world.after(step), Some((id, step)));
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

fn fingerprint(world: &World) -> u128 {
    let [high, low] = SEEDS.map(|seed| hash(world, seed));
    u128::from(high) << 64 | u128::from(low)
}

fn hash(world: &World, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    world.clock.hash(&mut hasher);
    world.log.hash(&mut hasher);
    world.sides.hash(&mut hasher);
    world.strays.hash(&mut hasher);
    world.calls.hash(&mut hasher);
    world.effects.hash(&mut hasher);
    world.budget.hash(&mut hasher);
    hasher.finish()
}
