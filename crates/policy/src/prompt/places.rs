//! Adapter slots of one engine, and the orders that load and unload adapters.
//!
//! Only one order is outstanding at a time. It names the sequence that the engine must be at. An order
//! without an answer may still be carried out: until the engine's sequence has advanced, its adapter counts
//! as occupying a slot and as unusable.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pumicecleat_types::{EngineTraits, Millis};

use super::demand::AdapterDemand;
use super::loads::LoadTimes;
use super::orders::{EngineOrder, OrderOutcome};

/// Maximum number of adapters that an engine loads at the same time.
const MAX_LOADS: usize = 4;

/// Time for which reports with a lower sequence are considered older than the last counted order. A later
/// report is right, and the order was counted by mistake.
const STALE_REPORT_TIME: Millis = Millis(1_000);

/// Time for which an unload that waits for running requests blocks the eviction of another adapter. Most
/// streams end within it.
const UNLOAD_WAIT_TIME: Millis = Millis(400);

/// Time for which an order may still reach an engine. In the deployments, orders are carried out up to 12 s
/// late.
const LATE_ORDER_TIME: Millis = Millis(15_000);

/// Maximum number of remembered unloaded adapters: more than a host with memory for a few base models
/// caches, and a message of a few KB.
const MAX_UNLOADED: usize = 256;

/// A loaded adapter.
#[derive(Clone, Copy, Debug)]
struct Loaded {
    version: u64,
    last_used: Millis,
}

/// A load in progress.
#[derive(Clone, Copy, Debug, Default)]
struct PendingLoad {
    /// When the order was accepted, if known.
    since: Option<Millis>,
    /// Number of adapters unloaded since this one was; `None` if it was never loaded here.
    depth: Option<usize>,
    /// The adapter comes from the weight store, as far as is known.
    from_store: bool,
}

/// An order without an answer so far, or whose outcome is unknown.
#[derive(Clone, Debug)]
struct OutstandingOrder {
    order: EngineOrder,
    sequence: u64,
    /// The exchange has ended without an answer.
    unknown: bool,
}

/// Adapter slots of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct AdapterSlots {
    capacity: usize,
    loaded: BTreeMap<String, Loaded>,
    /// Adapters that were unloaded, latest first. The host caches some of them.
    unloaded: VecDeque<String>,
    load_times: LoadTimes,
    loading: BTreeMap<String, PendingLoad>,
    /// Adapters whose unload was accepted while the engine still runs requests for them. They occupy a slot
    /// and can't be used.
    unloading: BTreeSet<String>,
    outstanding: Option<OutstandingOrder>,
    /// Sequences named by loads that were sent before the engine's last start and may still arrive, and the
    /// time until which they may.
    late_loads: Vec<(u64, Millis)>,
    sequence: u64,
    /// When an order was last counted as carried out.
    last_counted: Millis,
    /// The state of the engine is uncertain until its next report.
    needs_report: bool,
    demand: AdapterDemand,
}

impl AdapterSlots {
    pub(super) fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity as usize,
            ..Self::default()
        }
    }

    pub(super) fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity as usize;
    }

    /// Sets the smallest window of loads from the store.
    pub(super) fn set_min_window(&mut self, min: f64) {
        self.load_times.window_mut().set_min(min);
    }

    /// Sets the load times learned at the engine's peers.
    pub(super) fn set_peer_traits(&mut self, peers: &EngineTraits) {
        self.load_times.set_peer_traits(peers);
    }

    /// Load times learned at this engine.
    pub(super) fn load_times(&self) -> &LoadTimes {
        &self.load_times
    }

    /// Expected load time of `adapter`; 0 while nothing is known.
    pub(super) fn load_time(&self, adapter: &str) -> Millis {
        if self.cached().any(|name| name == adapter) {
            return self.load_times.cached_load_time();
        }
        self.load_times.store_load_time()
    }

    /// Expected time until `adapter` is loaded if its load starts now, or has started.
    pub(super) fn load_left(&self, adapter: &str, now: Millis) -> Millis {
        let started = self.loading.get(adapter).and_then(|load| load.since);
        let elapsed = started.map_or(Millis(0), |since| now.since(since));
        self.load_time(adapter).since(elapsed)
    }

    /// Applies the adapters and the sequence of an engine's report.
    pub(super) fn apply_report(
        &mut self,
        sequence: u64,
        loaded: &[(String, u64)],
        loading: &[(String, u64)],
        now: Millis,
    ) {
        if self.outstanding.as_ref().is_some_and(|o| !o.unknown) {
            // The report may be from before or after the order; the next report is conclusive.
            return;
        }
        if sequence < self.sequence && now.since(self.last_counted) < STALE_REPORT_TIME {
            return;
        }
        self.needs_report = false;
        if self
            .outstanding
            .as_ref()
            .is_some_and(|o| sequence > o.sequence)
        {
            self.outstanding = None;
        }
        self.sequence = sequence;
        self.late_loads
            .retain(|(named, until)| *named >= sequence && now < *until);
        let last_used = |name: &str| self.loaded.get(name).map_or(now, |h| h.last_used);
        let loaded = loaded.iter().map(|(name, version)| {
            let slot = Loaded {
                version: *version,
                last_used: last_used(name),
            };
            (name.clone(), slot)
        });
        let loaded: BTreeMap<String, Loaded> = loaded.collect();
        let previous: Vec<String> = self.loaded.keys().cloned().collect();
        self.loaded = loaded;
        for name in previous {
            self.remember_unloaded(name);
        }
        self.apply_loading(loading, now);
        self.unloaded.retain(|name| !self.loaded.contains_key(name));
        self.unloading.retain(|name| self.loaded.contains_key(name));
    }

    /// Updates the loads in progress, and records the durations of those that are complete.
    fn apply_loading(&mut self, loading: &[(String, u64)], now: Millis) {
        let previous = std::mem::take(&mut self.loading);
        for (name, load) in &previous {
            let since = load.since.filter(|_| self.loaded.contains_key(name));
            if let Some(since) = since {
                self.load_times.record(load.depth, now.since(since));
            }
        }
        let rows = loading.iter().map(|(name, _)| {
            let load = previous.get(name).copied().unwrap_or_default();
            (name.clone(), load)
        });
        self.loading = rows.collect();
    }

    /// Adds `name` to the unloaded adapters unless it is still loaded.
    fn remember_unloaded(&mut self, name: String) {
        if self.loaded.contains_key(&name) {
            return;
        }
        self.unloaded.retain(|n| *n != name);
        self.unloaded.push_front(name);
        self.unloaded.truncate(MAX_UNLOADED);
    }

    /// Adapters that the host probably caches in memory in addition to the loaded ones. The cache size counts
    /// as the number of slots until an adapter has been loaded a second time.
    pub(super) fn cached(&self) -> impl Iterator<Item = &String> {
        let cache_size = self.load_times.cache_size().unwrap_or(self.capacity);
        self.unloaded.iter().take(cache_size)
    }

    /// Sequence that the next order must name.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Version of an adapter that requests may use now.
    pub(super) fn usable(&self, adapter: &str) -> Option<u64> {
        let unloading = self.outstanding.as_ref().is_some_and(|o| match &o.order {
            EngineOrder::Unload { adapter: a } | EngineOrder::Load { adapter: a, .. } => {
                a == adapter
            }
            EngineOrder::LoadBase => true,
        });
        let unloading = unloading || self.unloading.contains(adapter);
        if unloading || self.loading.contains_key(adapter) {
            return None;
        }
        self.loaded.get(adapter).map(|h| h.version)
    }

    pub(super) fn is_loaded(&self, adapter: &str) -> bool {
        self.loaded.contains_key(adapter)
    }

    pub(super) fn is_loading(&self, adapter: &str) -> bool {
        self.loading.contains_key(adapter)
            || self.outstanding.as_ref().is_some_and(
                |o| matches!(&o.order, EngineOrder::Load { adapter: a, .. } if a == adapter),
            )
    }

    pub(super) fn loaded(&self) -> impl Iterator<Item = (&String, u64)> {
        self.loaded.iter().map(|(name, h)| (name, h.version))
    }

    pub(super) fn loading(&self) -> impl Iterator<Item = &String> {
        self.loading.keys()
    }

    pub(super) fn record_request(&mut self, adapter: &str, now: Millis) {
        if let Some(loaded) = self.loaded.get_mut(adapter) {
            loaded.last_used = now;
        }
        self.demand.record(adapter, now);
    }

    /// Number of slots that another adapter could take, now or after an eviction.
    pub(super) fn available(&self, in_use: &BTreeSet<&str>) -> u32 {
        let is_idle = |name: &&String| {
            !in_use.contains(name.as_str()) && !self.unloading.contains(name.as_str())
        };
        let idle = self.loaded.keys().filter(is_idle).count();
        let free = self.capacity.saturating_sub(self.occupied());
        u32::try_from(free + idle).unwrap_or(u32::MAX)
    }

    /// Number of occupied slots, where each order without an answer counts as carried out.
    fn occupied(&self) -> usize {
        let mut names: BTreeSet<&str> = self.loaded.keys().map(String::as_str).collect();
        // A replacement may need a slot in addition to that of the old version.
        let replacing = self.loading.keys().filter(|n| names.contains(n.as_str()));
        let replacing = replacing.count();
        names.extend(self.loading.keys().map(String::as_str));
        let outstanding_loads = match self.outstanding.as_ref().map(|o| &o.order) {
            Some(EngineOrder::Load { .. }) => 1,
            _ => 0,
        };
        names.len() + replacing + outstanding_loads + self.late_loads.len()
    }

    /// Next order on the way to loading `adapter` at `version`, if an order may be sent now.
    pub(super) fn order_for(
        &self,
        adapter: &str,
        version: u64,
        in_use: &BTreeSet<&str>,
        requested: &BTreeSet<&str>,
        now: Millis,
    ) -> Option<EngineOrder> {
        if !self.may_order() || self.is_loading(adapter) || self.unloading.contains(adapter) {
            return None;
        }
        let loaded = self.loaded.contains_key(adapter);
        if loaded && in_use.contains(adapter) {
            // Running requests finish with the version that they started with.
            return None;
        }
        if self.occupied() < self.capacity {
            if !self.may_load(adapter, now) {
                return None;
            }
            return Some(EngineOrder::Load {
                adapter: adapter.to_owned(),
                version: (version > 0).then_some(version),
            });
        }
        if !self.unloading.is_empty() && now.since(self.last_counted) < UNLOAD_WAIT_TIME {
            return None;
        }
        let victim = if loaded {
            Some(adapter.to_owned())
        } else {
            self.eviction_victim(in_use, requested, now)
        };
        victim.map(|adapter| EngineOrder::Unload { adapter })
    }

    /// Whether one more load may be started.
    fn may_load(&self, adapter: &str, now: Millis) -> bool {
        let cached = self.cached().any(|name| name == adapter);
        let from_store = self.loading.values().filter(|c| c.from_store).count();
        let window = self.load_times.window();
        self.loading.len() < MAX_LOADS && (cached || window.may_start(from_store, now))
    }

    pub(super) fn may_order(&self) -> bool {
        self.outstanding.as_ref().is_none_or(|o| o.unknown) && !self.needs_report
    }

    /// Unused adapter with the lowest demand; of equal ones the least recently used.
    fn eviction_victim(
        &self,
        in_use: &BTreeSet<&str>,
        requested: &BTreeSet<&str>,
        now: Millis,
    ) -> Option<String> {
        let is_unused = |name: &str| {
            !in_use.contains(name) && !requested.contains(name) && !self.unloading.contains(name)
        };
        let unused = self.loaded.iter().filter(|(name, _)| is_unused(name));
        let demand = |name: &str| self.demand.recent_count(name, now);
        let victim = unused.min_by(|a, b| {
            let by_demand = demand(a.0).total_cmp(&demand(b.0));
            by_demand.then(a.1.last_used.cmp(&b.1.last_used))
        });
        victim.map(|(name, _)| name.clone())
    }

    /// Records that an order is sent.
    pub(super) fn order_sent(&mut self, order: EngineOrder) {
        self.outstanding = Some(OutstandingOrder {
            order,
            sequence: self.sequence,
            unknown: false,
        });
    }

    /// Records the outcome of the outstanding order.
    pub(super) fn order_ended(&mut self, outcome: OrderOutcome, now: Millis) {
        let Some(mut outstanding) = self.outstanding.take() else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Done => {
                self.apply_order(outstanding.order, outcome, now);
            }
            OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Misdirected => {
                self.needs_report = true;
            }
            OrderOutcome::Unknown => {
                outstanding.unknown = true;
                self.outstanding = Some(outstanding);
                self.needs_report = true;
            }
        }
    }

    fn apply_order(&mut self, order: EngineOrder, outcome: OrderOutcome, now: Millis) {
        match (order, outcome) {
            (EngineOrder::Load { adapter, .. }, OrderOutcome::Accepted) => {
                let load = PendingLoad {
                    since: Some(now),
                    depth: self.unloaded.iter().position(|n| *n == adapter),
                    from_store: !self.cached().any(|n| *n == adapter),
                };
                if load.from_store {
                    self.load_times.window_mut().record_start(now);
                }
                self.loading.insert(adapter, load);
            }
            (EngineOrder::Unload { adapter }, OrderOutcome::Accepted) => {
                self.unloading.insert(adapter);
            }
            (EngineOrder::Unload { adapter }, _) => {
                self.loaded.remove(&adapter);
                self.remember_unloaded(adapter);
            }
            // The adapter was already loaded; only the next report shows whether the sequence advanced.
            (EngineOrder::Load { .. }, _) => {
                self.needs_report = true;
                return;
            }
            (EngineOrder::LoadBase, _) => self.needs_report = true,
        }
        self.sequence += 1;
        self.last_counted = now;
    }

    /// Resets the state after a restart or replacement of the engine. An outstanding load may still arrive,
    /// and is carried out once the engine reaches the sequence that the load names.
    pub(super) fn reset(&mut self, now: Millis) {
        let outstanding = self.outstanding.take();
        let load = outstanding.filter(|o| matches!(o.order, EngineOrder::Load { .. }));
        let mut late_loads = std::mem::take(&mut self.late_loads);
        late_loads.extend(load.map(|o| (o.sequence, now + LATE_ORDER_TIME)));
        let demand = std::mem::take(&mut self.demand);
        let mut load_times = std::mem::take(&mut self.load_times);
        load_times.window_mut().reset();
        *self = Self {
            capacity: self.capacity,
            demand,
            load_times,
            late_loads,
            ..Self::default()
        };
    }
}
