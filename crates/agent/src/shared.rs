//! State that the agent's parts share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::entries::Entries;
use async_channel::{Receiver, Sender};
use pumicecleat_catalog::{Applied, Follow, Marks, Shared as Catalog, Upstream};
use pumicecleat_net::{Client, Timer};
use pumicecleat_ops::{Log, Readiness, events, field};
use pumicecleat_policy::{RateLimits, TurnId, TurnScheduler};
use pumicecleat_types::{EngineFigures, KeptAdapters, Millis, ServiceId, Turn, VmId};

use crate::EnginePort;
use crate::meters::Meters;
use crate::relay::Board;
use crate::trial::Watch;

/// Readiness condition of the engine.
pub(crate) const ENGINE: &str = "engine";

/// Time for which an instance that the list names no more, or not as the newest, raises no doubt. An
/// engine's entry may outlive it by many seconds, and those who believe in it name it ten times a second.
const REFUTED_SPAN: Millis = Millis(2_000);

/// What the agent's parts share.
pub(crate) struct Shared {
    pub(crate) timer: Timer,
    pub(crate) log: Log,
    pub(crate) vm: VmId,
    pub(crate) service: ServiceId,
    /// Address of the engine, by which the list names its instance.
    pub(crate) engine: SocketAddr,
    pub(crate) port: Rc<dyn EnginePort>,
    pub(crate) catalog: Catalog,
    pub(crate) marks: Rc<Marks>,
    pub(crate) turns: RefCell<TurnScheduler>,
    /// Rate limit of the engine.
    pub(crate) limits: RefCell<RateLimits>,
    /// Who waits for the outcome of a turn.
    pub(crate) waiters: RefCell<BTreeMap<TurnId, Sender<Turn>>>,
    /// Instance of the engine; empty while it is not known.
    pub(crate) instance: RefCell<String>,
    /// Unix time of the engine's start, ms, if it tells.
    pub(crate) born: Cell<Option<u64>>,
    /// Starts of the engine that were seen; what was ordered before the last is void.
    pub(crate) starts: Cell<u64>,
    /// Entries that ask for turns here.
    pub(crate) entries: RefCell<Entries>,
    pub(crate) readiness: Readiness,
    pub(crate) meters: Meters,
    /// Instance that the engine said it is not, though the list may still name it.
    pub(crate) denied: RefCell<String>,
    /// A token here has the decisions asked again.
    pub(crate) wake: Bell,
    /// Client for other agents.
    pub(crate) peers: Client,
    /// Requests under which upstreams ended.
    pub(crate) watch: Watch,
    /// What is gathered for entries.
    pub(crate) board: RefCell<Board>,
    /// A token here tells that somebody asks for what is gathered.
    pub(crate) viewed: Bell,
    /// A gateway named another instance than the one known.
    pub(crate) doubt: Cell<bool>,
    /// Instance named last by another process.
    pub(crate) named: RefCell<String>,
    /// A token here tells that one was named that may be the engine's.
    pub(crate) naming: Bell,
    /// Instance that was named though the list names another, and when that was found.
    pub(crate) refuted: RefCell<Option<(String, Millis)>>,
}

/// Wakes one loop; rings while it is awake are kept as one.
#[derive(Clone, Debug)]
pub(crate) struct Bell {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Bell {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    pub(crate) fn ring(&self) {
        // A full channel holds a ring already.
        let _ = self.sender.try_send(());
    }

    pub(crate) async fn rung(&self) {
        // It can't be closed while `self` holds both ends.
        let _ = self.receiver.recv().await;
    }
}

impl Shared {
    pub(crate) fn figures(&self) -> EngineFigures {
        let now = self.timer.now();
        let mut figures = self.turns.borrow().figures(&self.instance.borrow(), now);
        figures.born = self.born.get().unwrap_or_default();
        figures
    }

    /// Adapters that the engine's host keeps, unless the entry knows them already.
    pub(crate) fn kept(&self, known: u64) -> Option<KeptAdapters> {
        let names = self.turns.borrow().cached_adapters();
        let digest = pumicecleat_policy::name_key(&names.join("/"));
        (digest != known).then_some(KeptAdapters { digest, names })
    }

    /// The engine started anew: what it held is void, and the list will name another instance.
    pub(crate) fn engine_restarted(&self) {
        self.void();
        self.instance.borrow_mut().clear();
    }

    /// What was believed of the engine, and ordered, is void.
    fn void(&self) {
        self.turns.borrow_mut().reset(self.timer.now());
        self.watch.engine_ended();
        self.starts.set(self.starts.get() + 1);
    }

    /// The engine refused an order as meant for another instance: the list still named the one
    /// before. Until it names the engine's own, orders name none; an engine that has just started
    /// then gets its base model at once.
    pub(crate) fn engine_denied(&self, instance: &str) {
        self.denied.replace(instance.to_owned());
        self.engine_restarted();
        self.log
            .emit(&events::OWN_ENGINE_DENIED, &[field("instance", instance)]);
    }

    /// Whether it has to be found out which instance the engine is.
    pub(crate) fn in_doubt(&self) -> bool {
        self.instance.borrow().is_empty() || self.doubt.get()
    }

    /// Whether the engine is `instance`, as an entry believes; if not, it has to be found out.
    pub(crate) fn is_meant(&self, instance: &str) -> bool {
        let known = *self.instance.borrow() == instance;
        if !known && !self.is_refuted(instance) {
            self.doubt.set(true);
            if *self.denied.borrow() != instance {
                self.named.replace(instance.to_owned());
                self.naming.ring();
            }
        }
        known && !instance.is_empty()
    }

    /// Whether the list was found lately to name another than `instance`, which others still name.
    fn is_refuted(&self, instance: &str) -> bool {
        let now = self.timer.now();
        let refuted = self.refuted.borrow();
        let refuted = refuted.as_ref();
        refuted.is_some_and(|(name, at)| name == instance && now.since(*at) < REFUTED_SPAN)
    }

    /// Whether an entry of the list is the engine's. Where both tell when the engine started, that of a
    /// start before is known by it.
    pub(crate) fn is_own(&self, upstream: &Upstream) -> bool {
        let place = upstream.address == self.engine && upstream.service == self.service;
        let other = match (upstream.born, self.born.get()) {
            (Some(listed), Some(own)) => listed != own,
            _ => false,
        };
        place && !other
    }

    /// The list names `instance` as the engine's newest.
    pub(crate) fn found(&self, instance: &str) {
        if *self.denied.borrow() == instance {
            return;
        }
        self.doubt.set(false);
        let named = self.named.take();
        if !named.is_empty() && named != instance {
            self.refuted.replace(Some((named, self.timer.now())));
        }
        if *self.instance.borrow() == instance {
            return;
        }
        if !self.instance.borrow().is_empty() {
            // The engine's report tells what the new instance holds.
            self.void();
        }
        self.instance.replace(instance.to_owned());
        let fields = [field("instance", instance)];
        self.log.emit(&events::OWN_ENGINE_SEEN, &fields);
        self.wake.ring();
    }
}

impl Follow for Shared {
    fn applied(&self, applied: &Applied) {
        if let Applied::Version { adapter, version } = applied {
            // Requests name an adapter behind its base model and a slash.
            let name = adapter.split_once('/').map_or(adapter.as_str(), |p| p.1);
            self.turns.borrow_mut().declare_version(name, *version);
        }
        self.wake.ring();
    }
}
