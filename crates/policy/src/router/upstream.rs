//! What an entry knows of one upstream.

use std::collections::VecDeque;

use pumicecleat_types::{LoadFigures, Millis};

use super::demotion::Demotion;
use super::key::index_key;
use super::pool::Standing;
use crate::{LoraIx, PoolIx, UpstreamIx};

/// Own sends kept per upstream between two reports; more count as this many.
const SENDS: usize = 256;

/// Adapters expected at an upstream on account of own sends.
const COMING: usize = 8;

/// An adapter on its way to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Arrival {
    pub(super) lora: LoraIx,
    pub(super) since: Millis,
}

/// How an upstream stands to an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hold {
    /// Resident by the last report, or none needed.
    Resident,
    /// On its way since this time.
    Coming(Millis),
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
    /// Leaving by another source than a report; stays so until forgotten.
    pub(super) leaving: bool,
    /// Silent for long, or failed since its last report.
    pub(super) suspect: bool,
    /// Last report or answer, `None` before the first report.
    pub(super) seen: Option<Millis>,
    pub(super) demotion: Demotion,
    pub(super) resident: Vec<LoraIx>,
    pub(super) loading: Option<Arrival>,
    pub(super) coming: Vec<Arrival>,
    pub(super) sends: VecDeque<Millis>,
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
            seen: None,
            demotion: Demotion::default(),
            resident: Vec::new(),
            loading: None,
            coming: Vec::new(),
            sends: VecDeque::new(),
        }
    }

    pub(super) fn standing(&self) -> Standing {
        if self.leaving || !self.usable {
            Standing::Out
        } else if self.suspect {
            Standing::Behind
        } else {
            Standing::Fresh
        }
    }

    /// Places left in the batch, own sends that no report shows yet taken off.
    pub(super) fn room(&self) -> u64 {
        let own = u64::try_from(self.sends.len()).unwrap_or(u64::MAX);
        let busy = u64::from(self.load.running) + u64::from(self.load.waiting);
        u64::from(self.load.batch).saturating_sub(busy.saturating_add(own))
    }

    pub(super) fn hold(&self, lora: LoraIx) -> Hold {
        if self.resident.binary_search(&lora).is_ok() {
            return Hold::Resident;
        }
        let mut arrivals = self.loading.iter().chain(&self.coming);
        match arrivals.find(|a| a.lora == lora) {
            Some(a) => Hold::Coming(a.since),
            None => Hold::Absent,
        }
    }

    /// Adapters resident or on their way, ascending.
    pub(super) fn held(&self) -> Vec<LoraIx> {
        let arrivals = self.loading.iter().chain(&self.coming).map(|a| a.lora);
        let mut held: Vec<LoraIx> = self.resident.iter().copied().chain(arrivals).collect();
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
            _ => Arrival { lora, since: now },
        });
    }

    /// Forgets own sends that figures got at `now` must contain.
    pub(super) fn settle(&mut self, now: Millis, lag: Millis) {
        while self.sends.front().is_some_and(|&at| now.since(at) > lag) {
            self.sends.pop_front();
        }
    }

    /// Forgets expected adapters that a report shows, or should have shown within `late`.
    pub(super) fn settle_coming(&mut self, now: Millis, late: Millis) {
        let (resident, loading) = (&self.resident, self.loading);
        self.coming.retain(|a| {
            let arrived = resident.binary_search(&a.lora).is_ok();
            let seen = loading.is_some_and(|l| l.lora == a.lora);
            !arrived && !seen && now.since(a.since) <= late
        });
    }

    pub(super) fn note_send(&mut self, now: Millis) {
        if self.sends.len() < SENDS {
            self.sends.push_back(now);
        }
    }

    /// Expects an absent adapter to be loaded for a send.
    pub(super) fn note_coming(&mut self, lora: LoraIx, now: Millis) {
        if self.coming.len() == COMING {
            self.coming.remove(0);
        }
        self.coming.push(Arrival { lora, since: now });
    }

    /// Takes one ended attempt out of the count.
    pub(super) fn note_end(&mut self) {
        if self.sends.pop_front().is_none() {
            self.load.running = self.load.running.saturating_sub(1);
        }
    }
}
