//! Bounds by policies that know more than can be known: estimates, and favourable ones.
//!
//! All slots are one pool that any request may use, batches are never full and the store never idles
//! while a request waits. `bound` evicts the adapter whose next request is farthest away, `rates`
//! the one whose true popularity is least: that is the best that can be done without seeing single
//! requests ahead, so that what lies between the two is out of reach of every real policy.
//!
//! The load order is by requests waiting, which is best where all are known; with requests still to
//! come neither rule is exactly optimal, hence estimates. Loads start on demand, as in the other
//! policies: with prefetch by foresight there would be no stall to compare with.

use std::collections::BTreeMap;

use pumicecleat_policy::LoraIx;
use pumicecleat_types::Millis;

use super::replay::Tally;
use super::shape::{LOAD, SLOW_STEPS, STEP, Shape};
use super::trace::Trace;

/// What an eviction knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Knows {
    /// When each adapter is asked for next.
    Future,
    /// How popular each adapter is, as of its latest request.
    Rates,
}

impl Knows {
    pub(super) const ALL: &[Self] = &[Self::Future, Self::Rates];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Future => "bound",
            Self::Rates => "rates",
        }
    }
}

/// Stalls, loads and evictions of one that knows so much.
pub(super) fn estimate(shape: &Shape, trace: &Trace, knows: Knows) -> Tally {
    let mut pool = Foresight::new(shape, trace, knows);
    let mut next = 0;
    while next < trace.asks.len() || !pool.waiting.is_empty() {
        let arrival = trace.asks.get(next).map(|a| a.at);
        match (arrival, pool.busy) {
            (Some(at), Some(done)) if done <= at => pool.loaded(done),
            (Some(at), _) => {
                pool.arrive(next, at);
                next += 1;
            }
            (None, Some(done)) => pool.loaded(done),
            (None, None) => pool.unpin(),
        }
    }
    pool.tally
}

struct Foresight<'a> {
    trace: &'a Trace,
    knows: Knows,
    ranks: BTreeMap<LoraIx, usize>,
    slots: usize,
    /// Requests of each adapter still to come, latest first.
    coming: BTreeMap<LoraIx, Vec<usize>>,
    /// Resident adapters, and until when each is in use.
    held: BTreeMap<LoraIx, Millis>,
    waiting: BTreeMap<LoraIx, Vec<usize>>,
    loading: Option<LoraIx>,
    /// When the load in progress ends.
    busy: Option<Millis>,
    now: Millis,
    tally: Tally,
}

impl<'a> Foresight<'a> {
    fn new(shape: &Shape, trace: &'a Trace, knows: Knows) -> Self {
        let mut coming: BTreeMap<LoraIx, Vec<usize>> = BTreeMap::new();
        for (ix, ask) in trace.asks.iter().enumerate().rev() {
            coming.entry(ask.lora).or_default().push(ix);
        }
        Self {
            trace,
            knows,
            ranks: BTreeMap::new(),
            slots: (shape.engines * shape.slots) as usize,
            coming,
            held: BTreeMap::new(),
            waiting: BTreeMap::new(),
            loading: None,
            busy: None,
            now: Millis(0),
            tally: Tally::new(trace),
        }
    }

    fn arrive(&mut self, ix: usize, at: Millis) {
        self.now = at;
        let lora = self.trace.asks[ix].lora;
        self.ranks.insert(lora, self.trace.asks[ix].rank);
        if let Some(coming) = self.coming.get_mut(&lora) {
            coming.pop();
        }
        if self.held.contains_key(&lora) {
            self.run(ix);
        } else {
            self.waiting.entry(lora).or_default().push(ix);
        }
        self.start();
    }

    fn run(&mut self, ix: usize) {
        let ask = &self.trace.asks[ix];
        let stall = self.now.since(ask.at);
        self.tally.stalls[ix] = stall;
        self.tally.met[ix] = true;
        self.tally.useful += u64::from(ask.tokens);
        let end = self.now + service(ask.tokens);
        if let Some(used) = self.held.get_mut(&ask.lora) {
            *used = end.max(*used);
        }
    }

    fn start(&mut self) {
        if self.busy.is_some() {
            return;
        }
        let most = self.waiting.iter().max_by_key(|(_, ids)| ids.len());
        let Some(lora) = most.map(|(lora, _)| *lora) else {
            return;
        };
        if self.held.len() >= self.slots {
            let Some(victim) = self.victim() else {
                return;
            };
            self.held.remove(&victim);
            self.tally.evictions += 1;
        }
        self.tally.loads += 1;
        self.loading = Some(lora);
        self.busy = Some(self.now + LOAD);
    }

    fn loaded(&mut self, at: Millis) {
        self.now = at;
        self.busy = None;
        if let Some(lora) = self.loading.take() {
            self.held.insert(lora, at);
            for ix in self.waiting.remove(&lora).unwrap_or_default() {
                self.run(ix);
            }
        }
        self.start();
    }

    /// No load could start: every slot is in use; goes on when one is free.
    fn unpin(&mut self) {
        let first = self.held.values().min().copied().unwrap_or(self.now);
        self.now = first.max(self.now);
        self.start();
    }

    /// Unused adapter that is worth least by what is known.
    fn victim(&self) -> Option<LoraIx> {
        let unused = self.held.iter().filter(|(_, until)| **until <= self.now);
        let least = unused.max_by_key(|(lora, _)| self.distance(**lora));
        least.map(|(lora, _)| *lora)
    }

    /// How far the adapter's next request is, in its unit.
    fn distance(&self, lora: LoraIx) -> usize {
        let known = match self.knows {
            Knows::Future => self.coming.get(&lora).and_then(|c| c.last().copied()),
            Knows::Rates => self.ranks.get(&lora).copied(),
        };
        known.unwrap_or(usize::MAX)
    }
}

/// Time of an answer.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans are short and not negative"
)]
fn service(tokens: u32) -> Millis {
    let fast = STEP.0.as_secs() * (1.0 - SLOW_STEPS);
    let slow = STEP.1.as_secs() * SLOW_STEPS;
    Millis((f64::from(tokens) * (fast + slow) * 1_000.0) as u64)
}
