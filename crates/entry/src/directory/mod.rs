//! Sides and adapters by name, and the choice of a side for a request.
//!
//! This is soft state: it may be wrong for seconds, and refusals of sides correct it. `names`
//! assigns indices, `side` and `listed` hold the state from reports and from the VM list, `report`
//! applies reports, `vms` polls the list, `expire` detects silent sides, and `dump` exports the
//! state.

mod dump;
mod expire;
mod listed;
mod names;
mod report;
mod side;
mod vms;

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_policy::{
    AttemptOutcome, LoraIx, PoolIx, RouteDecision, RouteQuery, Router, RouterOptions, UpstreamIx,
    lora_key,
};
use pumicecleat_types::{LoadFigures, Lora, Millis, PoolId, VmId};

pub use dump::SideDump;
pub(crate) use expire::watch_silence;
pub(crate) use report::{ReportOutcome, ReportPacer};
pub(crate) use vms::follow_vms;

use listed::ListedVms;
use names::Names;
use side::Side;

/// Sides and adapters known to this entry.
pub(crate) struct Directory {
    router: Router,
    names: Names,
    sides: BTreeMap<VmId, Side>,
    /// VM of each upstream, by index. Free indices are `None`.
    by_index: Vec<Option<VmId>>,
    listed: ListedVms,
    /// Current interval between two reports of a side.
    report_interval: Millis,
}

/// Side to which an attempt is sent.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) up: UpstreamIx,
    pub(crate) vm: VmId,
    pub(crate) address: String,
}

/// Result of the choice of a destination.
#[derive(Clone, Debug)]
pub(crate) enum DestinationChoice {
    /// The attempt should be sent to this side.
    Send(Destination),
    /// No upstream can meet the deadline.
    TooLate { retry_after: Millis },
    /// No upstream is usable.
    NoUpstream { retry_after: Millis },
}

impl Directory {
    /// Creates a directory without sides. The `seed` should differ between entries.
    pub(crate) fn new(seed: u64) -> Self {
        let options = RouterOptions {
            seed,
            ..RouterOptions::default()
        };
        Self {
            router: Router::new_ext(options),
            names: Names::default(),
            sides: BTreeMap::new(),
            by_index: Vec::new(),
            listed: ListedVms::default(),
            report_interval: Millis(0),
        }
    }

    /// Index of a pool.
    pub(crate) fn pool_index(&mut self, pool: &PoolId) -> PoolIx {
        self.names.pool_index(pool)
    }

    /// Of pools that can serve a request, the one with the most usable upstreams.
    pub(crate) fn best_pool(&mut self, pools: Vec<PoolId>) -> Option<PoolId> {
        let mut best: Option<(usize, PoolId)> = None;
        for pool in pools {
            let count = self.router.usable_count(self.names.pool_index(&pool));
            if best.as_ref().is_none_or(|(most, _)| count > *most) {
                best = Some((count, pool));
            }
        }
        best.map(|(_, pool)| pool)
    }

    /// Index of an adapter version.
    pub(crate) fn lora_index(&mut self, lora: &Lora) -> LoraIx {
        let assigned = self
            .names
            .lora_index(lora.base.as_str(), &lora.engine_name());
        if assigned.is_new {
            self.router.set_lora_key(assigned.lora, lora_key(lora));
        }
        assigned.lora
    }

    /// Chooses a side for a request: the ready one with the highest rank for its `rank_key`, or by
    /// load if it has no key or no side is ready.
    pub(crate) fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        rank_key: Option<u64>,
        now: Millis,
    ) -> DestinationChoice {
        let by_rank = rank_key.and_then(|key| self.router.choose_by_rank(query, key, now));
        let decision = match by_rank {
            Some(selected) => RouteDecision::Send(selected),
            None => self.router.choose(query, now),
        };
        match decision {
            RouteDecision::Refuse { retry_after } if self.router.usable_count(query.pool) == 0 => {
                DestinationChoice::NoUpstream { retry_after }
            }
            RouteDecision::Refuse { retry_after } => DestinationChoice::TooLate { retry_after },
            RouteDecision::Send(selected) => match self.destination(selected.up) {
                Some(destination) => DestinationChoice::Send(destination),
                None => DestinationChoice::NoUpstream {
                    retry_after: Millis(0),
                },
            },
        }
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_send(&mut self, up: UpstreamIx, lora: Option<LoraIx>, now: Millis) {
        self.router.record_send(up, lora, now);
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(
        &mut self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        outcome: AttemptOutcome,
        now: Millis,
    ) {
        self.router.record_outcome(up, lora, outcome, now);
    }

    /// Updates the load of an upstream from the figures in an answer.
    pub(crate) fn update_load(&mut self, up: UpstreamIx, load: LoadFigures, now: Millis) {
        self.router.update_load(up, load, now);
    }

    /// Sets the expected time of an adapter load.
    pub(crate) fn set_load_time(&mut self, load: Millis) {
        self.router.set_load_time(load);
    }

    /// VM of an upstream, for logs.
    pub(crate) fn vm_name(&self, up: UpstreamIx) -> &str {
        let vm = self.by_index.get(up.0 as usize).and_then(Option::as_ref);
        vm.map_or("", VmId::as_str)
    }

    /// Address of an upstream's side.
    pub(crate) fn address(&self, up: UpstreamIx) -> Option<String> {
        self.destination(up).map(|d| d.address)
    }

    /// Engine name of an adapter version, for logs.
    pub(crate) fn engine_name(&self, lora: LoraIx) -> &str {
        self.names.engine_name(lora)
    }

    /// Number of known sides.
    pub(crate) fn side_count(&self) -> usize {
        self.sides.len()
    }

    /// Number of adapter versions seen so far.
    pub(crate) fn lora_count(&self) -> usize {
        self.names.lora_count()
    }

    /// Number of entries and upstreams in the VM list.
    pub(crate) fn listed_count(&self) -> usize {
        self.listed.vm_count()
    }

    /// VMs of the entries in the VM list.
    pub(crate) fn entry_vms(&self) -> BTreeSet<VmId> {
        self.listed.entry_vms()
    }

    /// Peer addresses of the entries in the VM list.
    pub(crate) fn entry_addresses(&self) -> Vec<String> {
        self.listed.entry_addresses()
    }

    fn destination(&self, up: UpstreamIx) -> Option<Destination> {
        let vm = self.by_index.get(up.0 as usize)?.as_ref()?;
        let side = self.sides.get(vm)?;
        Some(Destination {
            up,
            vm: vm.clone(),
            address: side.address.clone(),
        })
    }

    /// Removes a side. Its index may be reused for another one.
    fn remove_side(&mut self, vm: &VmId) -> Option<UpstreamIx> {
        let side = self.sides.remove(vm)?;
        self.router.forget(side.up);
        if let Some(entry) = self.by_index.get_mut(side.up.0 as usize) {
            *entry = None;
        }
        Some(side.up)
    }
}
