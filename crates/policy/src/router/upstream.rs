//! State that an entry keeps for one upstream.

use std::collections::VecDeque;

use pumicecleat_types::{LoadFigures, Millis};

use super::demotion::Demotion;
use super::key::index_key;
use super::pool::Availability;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// Most sends tracked per upstream between two reports; further ones are not counted.
const MAX_UNREPORTED_SENDS: usize = 256;

/// Most adapters expected at an upstream because of this entry's sends.
const MAX_PENDING_LOADS: usize = 8;

/// Adapter whose load at an upstream is in progress or expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingLoad {
    pub(super) lora: LoraIx,
    pub(super) since: Millis,
}

/// Residency of an adapter at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Residency {
    /// Resident by the last report, or no adapter is needed.
    Resident,
    /// Loading, or expected to load, since this time.
    Pending(Millis),
    /// Would have to be loaded.
    Absent,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) key: u64,
    pub(super) pool: PoolIx,
    pub(super) load: LoadFigures,
    /// Healthy and not leaving, by its last report.
    pub(super) usable: bool,
    /// Leaving by a source other than a report; stays set until the upstream is forgotten.
    pub(super) leaving: bool,
    /// No recent report or answer, or a failure since the last one.
    pub(super) suspect: bool,
    /// Time of the last report or answer; `None` before the first report.
    pub(super) last_seen: Option<Millis>,
    pub(super) demotion: Demotion,
    pub(super) resident: Vec<LoraIx>,
    pub(super) loading: Option<PendingLoad>,
    pub(super) pending_loads: Vec<PendingLoad>,
    pub(super) unreported_sends: VecDeque<Millis>,
}

impl Upstream {
    pub(super) fn new(up: UpstreamIx) -> Self {
        Self {
            key: index_key(up.0),
            pool: PoolIx::default(),
            load: LoadFigures::default(),
            usable: false,
            leaving: false,
            suspect: false,
            last_seen: None,
            demotion: Demotion::default(),
            resident: Vec::new(),
            loading: None,
            pending_loads: Vec::new(),
            unreported_sends: VecDeque::new(),
        }
    }

    pub(super) fn availability(&self) -> Availability {
        if self.leaving || !self.usable {
            Availability::Excluded
        } else if self.suspect {
            Availability::Suspect
        } else {
            Availability::Fresh
        }
    }

    /// Free places in the batch, after subtracting this entry's sends that no report shows yet.
    pub(super) fn batch_room(&self) -> u64 {
        let unreported = u64::try_from(self.unreported_sends.len()).unwrap_or(u64::MAX);
        let busy = u64::from(self.load.running) + u64::from(self.load.waiting);
        u64::from(self.load.max_batch_size).saturating_sub(busy.saturating_add(unreported))
    }

    pub(super) fn residency(&self, lora: LoraIx) -> Residency {
        if self.resident.binary_search(&lora).is_ok() {
            return Residency::Resident;
        }
        let mut pending = self.loading.iter().chain(&self.pending_loads);
        match pending.find(|a| a.lora == lora) {
            Some(a) => Residency::Pending(a.since),
            None => Residency::Absent,
        }
    }

    /// Adapters resident, loading or expected, in ascending order.
    pub(super) fn held(&self) -> Vec<LoraIx> {
        let pending = self
            .loading
            .iter()
            .chain(&self.pending_loads)
            .map(|a| a.lora);
        let mut held: Vec<LoraIx> = self.resident.iter().copied().chain(pending).collect();
        held.sort_unstable();
        held.dedup();
        held
    }

    pub(super) fn set_resident(&mut self, loras: &[LoraIx]) {
        self.resident = loras.to_vec();
        self.resident.sort_unstable();
        self.resident.dedup();
    }

    pub(super) fn set_loading(&mut self, lora: Option<LoraIx>, now: Millis) {
        let before = self.loading;
        self.loading = lora.map(|lora| match before {
            Some(a) if a.lora == lora => a,
            _ => PendingLoad { lora, since: now },
        });
    }

    /// Drops the sends that load figures received at `now` must include.
    pub(super) fn drop_reported_sends(&mut self, now: Millis, lag: Millis) {
        while self
            .unreported_sends
            .front()
            .is_some_and(|&at| now.since(at) > lag)
        {
            self.unreported_sends.pop_front();
        }
    }

    /// Drops the expected adapters that a report shows, or should have shown within `timeout`.
    pub(super) fn drop_settled_loads(&mut self, now: Millis, timeout: Millis) {
        let (resident, loading) = (&self.resident, self.loading);
        self.pending_loads.retain(|a| {
            let is_resident = resident.binary_search(&a.lora).is_ok();
            let is_loading = loading.is_some_and(|l| l.lora == a.lora);
            !is_resident && !is_loading && now.since(a.since) <= timeout
        });
    }

    pub(super) fn add_unreported_send(&mut self, now: Millis) {
        if self.unreported_sends.len() < MAX_UNREPORTED_SENDS {
            self.unreported_sends.push_back(now);
        }
    }

    /// Records that an absent adapter is expected to load because of a send.
    pub(super) fn add_pending_load(&mut self, lora: LoraIx, now: Millis) {
        if self.pending_loads.len() == MAX_PENDING_LOADS {
            self.pending_loads.remove(0);
        }
        self.pending_loads.push(PendingLoad { lora, since: now });
    }

    /// Removes one ended attempt from the load.
    pub(super) fn remove_attempt(&mut self) {
        if self.unreported_sends.pop_front().is_none() {
            self.load.running = self.load.running.saturating_sub(1);
        }
    }
}
