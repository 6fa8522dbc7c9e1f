//! State shared by the components of the agent.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::gateways::RecentGateways;
use async_channel::{Receiver, Sender};
use pumicecleat_catalog::{
    Applied, CatalogListener, Confirmations, Marks, SharedCatalog, Upstream,
};
use pumicecleat_net::{Client, Timer};
use pumicecleat_ops::{Log, Readiness, events, field};
use pumicecleat_policy::{AllowancePool, OriginTable, RateLimits, TurnId, TurnScheduler};
use pumicecleat_types::{CachedAdapters, EngineFigures, Millis, ServiceId, Turn, VmId};

use crate::EngineClient;
use crate::accounts::CountedAccounts;
use crate::meters::Meters;
use crate::relay::RelayState;
use crate::trial::SuspectState;

/// Readiness condition of the engine.
pub(crate) const ENGINE_CONDITION: &str = "engine";

/// Time for which a claimed instance that a lookup has refuted triggers no further lookup. An engine's entry may outlive it by many seconds, in which other processes name it ten times a second.
const REJECTED_CLAIM_TTL: Millis = Millis(2_000);

/// State shared by the components of the agent.
pub(crate) struct Shared {
    pub(crate) timer: Timer,
    pub(crate) log: Log,
    pub(crate) vm: VmId,
    pub(crate) service: ServiceId,
    /// Address of the engine, by which its instance is found in the list.
    pub(crate) engine_address: SocketAddr,
    pub(crate) engine_client: Rc<dyn EngineClient>,
    pub(crate) catalog: SharedCatalog,
    pub(crate) marks: Rc<Marks>,
    pub(crate) scheduler: RefCell<TurnScheduler>,
    /// Rate limit of the engine.
    pub(crate) rate_limits: RefCell<RateLimits>,
    /// Reads of the operators' records that confirm the configuration.
    pub(crate) confirmations: Rc<Confirmations>,
    /// Wakes the task that reads them.
    pub(crate) read_wanted: Notify,
    /// Age at which they are read again.
    pub(crate) wanted_age: Cell<Millis>,
    /// Allowances of client accounts, if gateways use this agent as their pool.
    pub(crate) allowances: RefCell<AllowancePool>,
    /// Slots of plain upstreams' limits, if gateways use this agent as their pool.
    pub(crate) limit_pool: RefCell<AllowancePool>,
    /// Copies of where streams began.
    pub(crate) origins: RefCell<OriginTable>,
    pub(crate) counted_accounts: CountedAccounts,
    /// Senders to the tasks that wait for a turn.
    pub(crate) waiters: RefCell<BTreeMap<TurnId, Sender<Turn>>>,
    /// Instance name of the engine; empty while it is not known.
    pub(crate) instance: RefCell<String>,
    /// Unix time of the engine's start in milliseconds, if it reports one.
    pub(crate) engine_start_time_ms: Cell<Option<u64>>,
    /// Number of engine starts seen. Outcomes of orders sent before the last one are ignored.
    pub(crate) engine_start_count: Cell<u64>,
    /// Gateways that contacted this agent recently.
    pub(crate) recent_gateways: RefCell<RecentGateways>,
    pub(crate) readiness: Readiness,
    pub(crate) meters: Meters,
    /// Instance that the engine has denied to be, although the list may still contain it.
    pub(crate) denied_instance: RefCell<String>,
    /// Wakes the scheduling loop.
    pub(crate) wake: Notify,
    /// Client for other agents.
    pub(crate) agent_client: Client,
    /// Requests that were in progress when upstreams ended.
    pub(crate) suspects: SuspectState,
    /// State as a relay.
    pub(crate) relay: RefCell<RelayState>,
    /// Wakes the relay loop when a view is requested.
    pub(crate) view_requested: Notify,
    /// Marks of the streams, while this agent follows them for gateways.
    pub(crate) stream_marks: RefCell<Option<Rc<Marks>>>,
    /// Catalog built from them.
    pub(crate) stream_catalog: RefCell<Option<SharedCatalog>>,
    /// Wakes the task that follows them.
    pub(crate) streams_requested: Notify,
    /// Whether another process has named an instance other than the known one.
    pub(crate) lookup_needed: Cell<bool>,
    /// Instance last named by another process.
    pub(crate) claimed_instance: RefCell<String>,
    /// Wakes the lookup when an instance was named that may be the engine's.
    pub(crate) instance_claimed: Notify,
    /// Named instance that a lookup has refuted, and when.
    pub(crate) rejected_claim: RefCell<Option<(String, Millis)>>,
}

/// Wakes one task. Notifications that arrive before it waits again are combined into one.
#[derive(Clone, Debug)]
pub(crate) struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Notify {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    pub(crate) fn notify(&self) {
        // A full channel already contains a notification.
        let _ = self.sender.try_send(());
    }

    pub(crate) async fn notified(&self) {
        // Can't fail, as `self` owns both ends of the channel.
        let _ = self.receiver.recv().await;
    }
}

impl Shared {
    pub(crate) fn figures(&self) -> EngineFigures {
        let now = self.timer.now();
        let mut figures = self
            .scheduler
            .borrow()
            .figures(&self.instance.borrow(), now);
        figures.start_time_ms = self.engine_start_time_ms.get().unwrap_or_default();
        figures
    }

    /// Adapters cached by the engine's host, or `None` if the caller knows them by their digest.
    pub(crate) fn cached_adapters(&self, known_digest: u64) -> Option<CachedAdapters> {
        let names = self.scheduler.borrow().cached_adapters();
        let digest = pumicecleat_policy::name_key(&names.join("/"));
        (digest != known_digest).then_some(CachedAdapters { digest, names })
    }

    /// Handles a restart of the engine: its state is reset, and the list will contain a new instance.
    pub(crate) fn handle_engine_restart(&self) {
        self.reset_engine_state();
        self.instance.borrow_mut().clear();
    }

    /// Discards what is known of the engine and the orders in progress.
    fn reset_engine_state(&self) {
        self.scheduler.borrow_mut().reset(self.timer.now());
        self.suspects.end_all_trials();
        self.engine_start_count
            .set(self.engine_start_count.get() + 1);
    }

    /// Handles the rejection of an order that named a different instance, because the list still contained the
    /// previous one. Orders name no instance until the list contains the engine's own, so that an engine that has
    /// just started gets its base model immediately.
    pub(crate) fn handle_denied_instance(&self, instance: &str) {
        self.denied_instance.replace(instance.to_owned());
        self.handle_engine_restart();
        self.instance_claimed.notify();
        self.log
            .emit(&events::OWN_ENGINE_DENIED, &[field("instance", instance)]);
    }

    /// Whether the instance of the engine is unknown or uncertain.
    pub(crate) fn needs_instance_lookup(&self) -> bool {
        self.instance.borrow().is_empty() || self.lookup_needed.get()
    }

    /// Whether the engine is `instance`, as named by another process. Triggers a lookup if it is not.
    pub(crate) fn check_instance(&self, instance: &str) -> bool {
        let matches = *self.instance.borrow() == instance;
        if !matches && !self.is_rejected_claim(instance) {
            self.lookup_needed.set(true);
            if *self.denied_instance.borrow() != instance {
                self.claimed_instance.replace(instance.to_owned());
                self.instance_claimed.notify();
            }
        }
        matches && !instance.is_empty()
    }

    /// Whether a lookup recently found an instance other than `instance`.
    fn is_rejected_claim(&self, instance: &str) -> bool {
        let now = self.timer.now();
        let rejected = self.rejected_claim.borrow();
        let rejected = rejected.as_ref();
        rejected.is_some_and(|(name, at)| name == instance && now.since(*at) < REJECTED_CLAIM_TTL)
    }

    /// Whether an entry of the list is that of the engine. An entry of an earlier start is recognized by the start
    /// time, if both the entry and the engine give one.
    pub(crate) fn is_own_entry(&self, upstream: &Upstream) -> bool {
        let same_place =
            upstream.address == self.engine_address && upstream.service == self.service;
        let other_start = match (upstream.born, self.engine_start_time_ms.get()) {
            (Some(listed), Some(own)) => listed != own,
            _ => false,
        };
        same_place && !other_start
    }

    /// Sets the instance that the engine names itself. It ends a denial, which may not have been the engine's own.
    pub(crate) fn confirm_instance(&self, instance: &str) {
        if *self.denied_instance.borrow() == instance {
            self.denied_instance.borrow_mut().clear();
        }
        self.set_instance(instance);
    }

    /// Sets the instance of the engine, unless the engine denied it.
    pub(crate) fn set_instance(&self, instance: &str) {
        if *self.denied_instance.borrow() == instance {
            return;
        }
        self.lookup_needed.set(false);
        let claimed = self.claimed_instance.take();
        if !claimed.is_empty() && claimed != instance {
            self.rejected_claim
                .replace(Some((claimed, self.timer.now())));
        }
        if *self.instance.borrow() == instance {
            return;
        }
        if !self.instance.borrow().is_empty() {
            // The next report describes the state of the new instance.
            self.reset_engine_state();
        }
        self.instance.replace(instance.to_owned());
        let fields = [field("instance", instance)];
        self.log.emit(&events::OWN_ENGINE_SEEN, &fields);
        self.wake.notify();
    }
}

impl CatalogListener for Shared {
    fn on_applied(&self, applied: &Applied) {
        if let Applied::Version { adapter, version } = applied {
            // The catalog names adapters as `base-model/adapter`.
            let name = adapter.split_once('/').map_or(adapter.as_str(), |p| p.1);
            self.scheduler.borrow_mut().declare_version(name, *version);
        }
        self.wake.notify();
    }
}
