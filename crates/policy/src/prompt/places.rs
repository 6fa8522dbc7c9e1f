//! The places for adapters of one engine, and the orders that fill and free them.
//!
//! One order is out at a time and names the sequence that the engine must be at. An order without an
//! answer may still be carried out: until the engine's sequence has moved on, its adapter counts as
//! taking a place and as not to be used.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pumicecleat_types::{EngineTraits, Millis};

use super::demand::Demand;
use super::loads::LoadTimes;

/// Adapters that may be on their way to an engine at once.
const LOADS: usize = 4;

/// Time for which reports at a lower sequence are taken for older than our last order; one that comes
/// later is right, and we counted an order that was not.
const SEQUENCE_SPAN: Millis = Millis(1_000);

/// Time that an unload which waits for runs is waited for before another adapter makes way: most
/// streams end within it.
const LEAVE_SPAN: Millis = Millis(400);

/// Time for which an order may be on its way to an engine: the deployments' are carried out up to 12 s
/// late.
const STRAY_SPAN: Millis = Millis(15_000);

/// Adapters given up that are remembered: more than a host with memory for a few base models keeps,
/// and a message of a few KB.
const REMEMBERED: usize = 256;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a base model.
    LoadBase,
    /// Load an adapter, or replace it by this version.
    Load {
        /// Adapter.
        adapter: String,
        /// Version; `None` for the newest.
        version: Option<u64>,
    },
    /// Unload an adapter.
    Unload {
        /// Adapter.
        adapter: String,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already, or is done.
    Done,
    /// The engine is at another sequence, or busy; nothing was done.
    Conflict,
    /// The engine did not take it; nothing was done.
    Refused,
    /// The engine is not the instance that the order named; nothing was done.
    Misdirected,
    /// No answer: it may be carried out, now or later.
    Unknown,
}

/// An adapter in its place.
#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    used: Millis,
}

/// An adapter on its way.
#[derive(Clone, Copy, Debug, Default)]
struct Coming {
    /// When its load was accepted, if that is known.
    since: Option<Millis>,
    /// Adapters given up since it was, if it was.
    depth: Option<usize>,
    /// Comes from the weight store, as far as is known.
    fetched: bool,
}

/// An order that is out, or of which nobody knows what became.
#[derive(Clone, Debug)]
struct Out {
    order: EngineOrder,
    sequence: u64,
    /// Its exchange has ended without an answer.
    unknown: bool,
}

/// Places of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Places {
    most: usize,
    held: BTreeMap<String, Held>,
    /// Adapters that the engine holds no more, latest first: its host keeps some of them.
    given_up: VecDeque<String>,
    times: LoadTimes,
    loading: BTreeMap<String, Coming>,
    /// Ordered out of the engine, which still runs requests for them: places taken, and not to be
    /// used.
    leaving: BTreeSet<String>,
    out: Option<Out>,
    /// Sequences named by loads that may still reach the engine from before its last start, and until
    /// when.
    strays: Vec<(u64, Millis)>,
    sequence: u64,
    /// Last order that was counted as carried out.
    counted: Millis,
    /// What the engine holds is in doubt until its next report.
    doubt: bool,
    demand: Demand,
}

impl Places {
    pub(super) fn new(most: u32) -> Self {
        Self {
            most: most as usize,
            ..Self::default()
        }
    }

    pub(super) fn resize(&mut self, most: u32) {
        self.most = most as usize;
    }

    /// Takes in what was learned of loads at the engine's peers.
    pub(super) fn hint(&mut self, peers: &EngineTraits) {
        self.times.hint(peers);
    }

    /// What was learned of loads here.
    pub(super) fn times(&self) -> &LoadTimes {
        &self.times
    }

    /// Expected time of a load of `adapter`; 0 before anything is known.
    pub(super) fn load_time(&self, adapter: &str) -> Millis {
        if self.kept().any(|name| name == adapter) {
            return self.times.host();
        }
        self.times.store()
    }

    /// Takes in what the engine reports.
    pub(super) fn observe(
        &mut self,
        sequence: u64,
        held: &[(String, u64)],
        loading: &[(String, u64)],
        now: Millis,
    ) {
        if self.out.as_ref().is_some_and(|o| !o.unknown) {
            // The report may be from before the order or after it; the next one tells.
            return;
        }
        if sequence < self.sequence && now.since(self.counted) < SEQUENCE_SPAN {
            return;
        }
        self.doubt = false;
        if self.out.as_ref().is_some_and(|o| sequence > o.sequence) {
            self.out = None;
        }
        self.sequence = sequence;
        self.strays
            .retain(|(named, until)| *named >= sequence && now < *until);
        let used = |name: &str| self.held.get(name).map_or(now, |h| h.used);
        let held = held.iter().map(|(name, version)| {
            let slot = Held {
                version: *version,
                used: used(name),
            };
            (name.clone(), slot)
        });
        let held: BTreeMap<String, Held> = held.collect();
        let dropped: Vec<String> = self.held.keys().cloned().collect();
        self.held = held;
        for name in dropped {
            self.give_up(name);
        }
        self.take_loads(loading, now);
        self.given_up.retain(|name| !self.held.contains_key(name));
        self.leaving.retain(|name| self.held.contains_key(name));
    }

    /// Takes in what is still on its way, and how long that took which is held now.
    fn take_loads(&mut self, loading: &[(String, u64)], now: Millis) {
        let before = std::mem::take(&mut self.loading);
        for (name, coming) in &before {
            let since = coming.since.filter(|_| self.held.contains_key(name));
            if let Some(since) = since {
                self.times.took(coming.depth, now.since(since));
            }
        }
        let rows = loading.iter().map(|(name, _)| {
            let coming = before.get(name).copied().unwrap_or_default();
            (name.clone(), coming)
        });
        self.loading = rows.collect();
    }

    /// Notes that the engine holds `name` no more, if so.
    fn give_up(&mut self, name: String) {
        if self.held.contains_key(&name) {
            return;
        }
        self.given_up.retain(|n| *n != name);
        self.given_up.push_front(name);
        self.given_up.truncate(REMEMBERED);
    }

    /// Adapters that the host's memory keeps beside those held, as far as is known: before any was
    /// loaded again, as many as there are places.
    pub(super) fn kept(&self) -> impl Iterator<Item = &String> {
        let keeps = self.times.keeps().unwrap_or(self.most);
        self.given_up.iter().take(keeps)
    }

    /// Sequence that the next order must name.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Version of an adapter that requests may use now.
    pub(super) fn usable(&self, adapter: &str) -> Option<u64> {
        let leaving = self.out.as_ref().is_some_and(|o| match &o.order {
            EngineOrder::Unload { adapter: a } | EngineOrder::Load { adapter: a, .. } => {
                a == adapter
            }
            EngineOrder::LoadBase => true,
        });
        let leaving = leaving || self.leaving.contains(adapter);
        if leaving || self.loading.contains_key(adapter) {
            return None;
        }
        self.held.get(adapter).map(|h| h.version)
    }

    pub(super) fn is_held(&self, adapter: &str) -> bool {
        self.held.contains_key(adapter)
    }

    pub(super) fn is_coming(&self, adapter: &str) -> bool {
        self.loading.contains_key(adapter)
            || self.out.as_ref().is_some_and(
                |o| matches!(&o.order, EngineOrder::Load { adapter: a, .. } if a == adapter),
            )
    }

    pub(super) fn held(&self) -> impl Iterator<Item = (&String, u64)> {
        self.held.iter().map(|(name, h)| (name, h.version))
    }

    pub(super) fn coming(&self) -> impl Iterator<Item = &String> {
        self.loading.keys()
    }

    pub(super) fn hit(&mut self, adapter: &str, now: Millis) {
        if let Some(held) = self.held.get_mut(adapter) {
            held.used = now;
        }
        self.demand.hit(adapter, now);
    }

    /// Places that a further adapter could take, now or after an eviction.
    pub(super) fn spare(&self, in_use: &BTreeSet<&str>) -> u32 {
        let idle = |name: &&String| {
            !in_use.contains(name.as_str()) && !self.leaving.contains(name.as_str())
        };
        let idle = self.held.keys().filter(idle).count();
        let free = self.most.saturating_sub(self.taken());
        u32::try_from(free + idle).unwrap_or(u32::MAX)
    }

    /// Places taken, every order without an answer counted as carried out.
    fn taken(&self) -> usize {
        let mut names: BTreeSet<&str> = self.held.keys().map(String::as_str).collect();
        // A replacement may need a place beside the old version's.
        let beside = self.loading.keys().filter(|n| names.contains(n.as_str()));
        let beside = beside.count();
        names.extend(self.loading.keys().map(String::as_str));
        let lost = match self.out.as_ref().map(|o| &o.order) {
            Some(EngineOrder::Load { .. }) => 1,
            _ => 0,
        };
        names.len() + beside + lost + self.strays.len()
    }

    /// Next order towards holding `adapter` at `version`, if one may be given now.
    pub(super) fn order_for(
        &self,
        adapter: &str,
        version: u64,
        in_use: &BTreeSet<&str>,
        wanted: &BTreeSet<&str>,
        now: Millis,
    ) -> Option<EngineOrder> {
        if !self.may_order() || self.is_coming(adapter) || self.leaving.contains(adapter) {
            return None;
        }
        let held = self.held.contains_key(adapter);
        if held && in_use.contains(adapter) {
            // Its runs end on the version that they began on.
            return None;
        }
        if self.taken() < self.most {
            if !self.may_load(adapter) {
                return None;
            }
            return Some(EngineOrder::Load {
                adapter: adapter.to_owned(),
                version: (version > 0).then_some(version),
            });
        }
        if !self.leaving.is_empty() && now.since(self.counted) < LEAVE_SPAN {
            return None;
        }
        let victim = if held {
            Some(adapter.to_owned())
        } else {
            self.victim(in_use, wanted, now)
        };
        victim.map(|adapter| EngineOrder::Unload { adapter })
    }

    /// Whether one more load may be under way.
    fn may_load(&self, adapter: &str) -> bool {
        let kept = self.kept().any(|name| name == adapter);
        let fetched = self.loading.values().filter(|c| c.fetched).count();
        self.loading.len() < LOADS && (kept || fetched < self.times.window())
    }

    pub(super) fn may_order(&self) -> bool {
        self.out.as_ref().is_none_or(|o| o.unknown) && !self.doubt
    }

    /// Adapter that is in no use and is asked for least.
    fn victim(
        &self,
        in_use: &BTreeSet<&str>,
        wanted: &BTreeSet<&str>,
        now: Millis,
    ) -> Option<String> {
        let free = |name: &str| {
            !in_use.contains(name) && !wanted.contains(name) && !self.leaving.contains(name)
        };
        let idle = self.held.iter().filter(|(name, _)| free(name));
        let asked = |name: &str| self.demand.of(name, now);
        let least = idle.min_by(|a, b| {
            let counts = asked(a.0).total_cmp(&asked(b.0));
            counts.then(a.1.used.cmp(&b.1.used))
        });
        least.map(|(name, _)| name.clone())
    }

    /// An order goes out.
    pub(super) fn ordered(&mut self, order: EngineOrder) {
        self.out = Some(Out {
            order,
            sequence: self.sequence,
            unknown: false,
        });
    }

    /// The exchange of the order that is out has ended.
    pub(super) fn ended(&mut self, end: OrderOutcome, now: Millis) {
        let Some(mut out) = self.out.take() else {
            return;
        };
        match end {
            OrderOutcome::Accepted | OrderOutcome::Done => self.carry_out(out.order, end, now),
            OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Misdirected => {
                self.doubt = true
            }
            OrderOutcome::Unknown => {
                out.unknown = true;
                self.out = Some(out);
                self.doubt = true;
            }
        }
    }

    fn carry_out(&mut self, order: EngineOrder, end: OrderOutcome, now: Millis) {
        match (order, end) {
            (EngineOrder::Load { adapter, .. }, OrderOutcome::Accepted) => {
                let coming = Coming {
                    since: Some(now),
                    depth: self.given_up.iter().position(|n| *n == adapter),
                    fetched: !self.kept().any(|n| *n == adapter),
                };
                self.loading.insert(adapter, coming);
            }
            (EngineOrder::Unload { adapter }, OrderOutcome::Accepted) => {
                self.leaving.insert(adapter);
            }
            (EngineOrder::Unload { adapter }, _) => {
                self.held.remove(&adapter);
                self.give_up(adapter);
            }
            // It held already, and whether that counts as an order only the next report tells.
            (EngineOrder::Load { .. }, _) => {
                self.doubt = true;
                return;
            }
            (EngineOrder::LoadBase, _) => self.doubt = true,
        }
        self.sequence += 1;
        self.counted = now;
    }

    /// Another instance stands in the engine's place, or the engine started again. A load that was out
    /// may still arrive, and is carried out if the sequence comes to what it names.
    pub(super) fn reset(&mut self, now: Millis) {
        let out = self.out.take();
        let load = out.filter(|o| matches!(o.order, EngineOrder::Load { .. }));
        let mut strays = std::mem::take(&mut self.strays);
        strays.extend(load.map(|o| (o.sequence, now + STRAY_SPAN)));
        let demand = std::mem::take(&mut self.demand);
        let mut times = std::mem::take(&mut self.times);
        times.restarted();
        *self = Self {
            most: self.most,
            demand,
            times,
            strays,
            ..Self::default()
        };
    }
}
