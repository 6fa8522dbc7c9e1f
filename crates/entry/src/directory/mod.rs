//! Sides and adapters by name, and the choice among them.
//!
//! Soft state: it may be wrong for seconds, and the sides' refusals correct it. `names` gives
//! indices, `side` and `listed` keep what reports and the VM list said, `report` takes reports in,
//! `vms` reads the list, `expire` watches for silence and `dump` shows it all.

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

use listed::Listed;
use names::Names;
use side::Side;

/// Sides and adapters known to this entry.
pub(crate) struct Directory {
    router: Router,
    names: Names,
    sides: BTreeMap<VmId, Side>,
    /// VM of each upstream in use, by index.
    by_index: Vec<Option<VmId>>,
    listed: Listed,
    /// Time between two reports of a side.
    report_interval: Millis,
}

/// Where one attempt goes.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) up: UpstreamIx,
    pub(crate) vm: VmId,
    pub(crate) address: String,
}

/// Choice of a destination.
#[derive(Clone, Debug)]
pub(crate) enum DestinationChoice {
    /// Send it there.
    Send(Destination),
    /// Every upstream is too late.
    TooLate { retry_after: Millis },
    /// No upstream may get work.
    NoUpstream { retry_after: Millis },
}

impl Directory {
    /// Directory without sides; `seed` differs between entries.
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
            listed: Listed::default(),
            report_interval: Millis(0),
        }
    }

    /// Index of a pool.
    pub(crate) fn pool_index(&mut self, pool: &PoolId) -> PoolIx {
        self.names.pool(pool)
    }

    /// Of pools that could take a request, the one with most upstreams that may get work.
    pub(crate) fn best_pool(&mut self, pools: Vec<PoolId>) -> Option<PoolId> {
        let mut best: Option<(usize, PoolId)> = None;
        for pool in pools {
            let count = self.router.usable_count(self.names.pool(&pool));
            if best.as_ref().is_none_or(|(most, _)| count > *most) {
                best = Some((count, pool));
            }
        }
        best.map(|(_, pool)| pool)
    }

    /// Index of an adapter's version.
    pub(crate) fn lora_index(&mut self, lora: &Lora) -> LoraIx {
        let given = self.names.lora(lora.base.as_str(), &lora.engine_name());
        if given.fresh {
            self.router.set_lora_key(given.lora, lora_key(lora));
        }
        given.lora
    }

    /// Where a request should go: to the first side by rank for its `home`, if it has one and a
    /// side is ready for it, else by load.
    pub(crate) fn choose(
        &mut self,
        ask: &RouteQuery<'_>,
        home: Option<u64>,
        now: Millis,
    ) -> DestinationChoice {
        let ranked = home.and_then(|home| self.router.choose_by_rank(ask, home, now));
        let choice = match ranked {
            Some(pick) => RouteDecision::Send(pick),
            None => self.router.choose(ask, now),
        };
        match choice {
            RouteDecision::Refuse { retry_after } if self.router.usable_count(ask.pool) == 0 => {
                DestinationChoice::NoUpstream { retry_after }
            }
            RouteDecision::Refuse { retry_after } => DestinationChoice::TooLate { retry_after },
            RouteDecision::Send(pick) => match self.destination(pick.up) {
                Some(destination) => DestinationChoice::Send(destination),
                None => DestinationChoice::NoUpstream {
                    retry_after: Millis(0),
                },
            },
        }
    }

    /// Counts an attempt sent.
    pub(crate) fn record_send(&mut self, up: UpstreamIx, lora: Option<LoraIx>, now: Millis) {
        self.router.record_send(up, lora, now);
    }

    /// Learns from the end of an attempt.
    pub(crate) fn record_outcome(
        &mut self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        outcome: AttemptOutcome,
        now: Millis,
    ) {
        self.router.record_outcome(up, lora, outcome, now);
    }

    /// Takes in load figures that came with an answer.
    pub(crate) fn update_load(&mut self, up: UpstreamIx, load: LoadFigures, now: Millis) {
        self.router.update_load(up, load, now);
    }

    /// Expected time of a load.
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

    /// Engine name of an adapter's version, for logs.
    pub(crate) fn engine_name(&self, lora: LoraIx) -> &str {
        self.names.engine(lora)
    }

    /// Sides known.
    pub(crate) fn side_count(&self) -> usize {
        self.sides.len()
    }

    /// Adapters' versions seen so far.
    pub(crate) fn lora_count(&self) -> usize {
        self.names.loras()
    }

    /// VMs listed.
    pub(crate) fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Entries by the VM list.
    pub(crate) fn entry_vms(&self) -> BTreeSet<VmId> {
        self.listed.entries()
    }

    /// Peer addresses of entries by the VM list.
    pub(crate) fn entry_addresses(&self) -> Vec<String> {
        self.listed.addresses()
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

    /// Forgets a side; its index may go to another.
    fn remove_side(&mut self, vm: &VmId) -> Option<UpstreamIx> {
        let side = self.sides.remove(vm)?;
        self.router.forget(side.up);
        if let Some(place) = self.by_index.get_mut(side.up.0 as usize) {
            *place = None;
        }
        Some(side.up)
    }
}
