//! State that the agent's parts share.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use pumicecleat_catalog::{Applied, Follow, Shared as Catalog, Standing};
use pumicecleat_net::Timer;
use pumicecleat_ops::{Log, Readiness};
use pumicecleat_policy::{TurnId, Turns};
use pumicecleat_types::{EngineFigures, ServiceId, Turn};

use crate::EnginePort;
use crate::meters::Meters;

/// Readiness condition of the engine.
pub(crate) const ENGINE: &str = "engine";

/// What the agent's parts share.
pub(crate) struct Shared {
    pub(crate) timer: Timer,
    pub(crate) log: Log,
    pub(crate) service: ServiceId,
    /// Address of the engine, by which the list names its instance.
    pub(crate) engine: SocketAddr,
    pub(crate) rate: u64,
    pub(crate) port: Rc<dyn EnginePort>,
    pub(crate) catalog: Catalog,
    pub(crate) turns: RefCell<Turns>,
    /// Who waits for the outcome of a turn.
    pub(crate) waiters: RefCell<BTreeMap<TurnId, Sender<Turn>>>,
    /// Instance of the engine; empty while it is not known.
    pub(crate) instance: RefCell<String>,
    pub(crate) readiness: Readiness,
    pub(crate) meters: Meters,
    /// A token here has the decisions asked again.
    pub(crate) wake: Bell,
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
        self.turns.borrow().figures(&self.instance.borrow())
    }

    /// The engine started anew: what it held is void, and the list will name another instance.
    pub(crate) fn engine_restarted(&self) {
        self.turns.borrow_mut().reset();
        self.instance.borrow_mut().clear();
    }

    /// The list names `instance`.
    fn listed(&self, instance: &str, standing: Standing) {
        let catalog = self.catalog.borrow();
        let Some(upstream) = catalog.upstream(instance) else {
            return;
        };
        if upstream.address != self.engine || upstream.service != self.service {
            return;
        }
        let known = *self.instance.borrow() == instance;
        if standing == Standing::Leaving {
            if known {
                self.turns.borrow_mut().leave();
            }
        } else if !known {
            // The engine's report tells what the new instance holds.
            self.turns.borrow_mut().reset();
            self.instance.replace(instance.to_owned());
        }
    }
}

impl Follow for Shared {
    fn applied(&self, applied: &Applied) {
        match applied {
            Applied::Version { adapter, version } => {
                // Requests name an adapter behind its base model and a slash.
                let name = adapter.split_once('/').map_or(adapter.as_str(), |p| p.1);
                self.turns.borrow_mut().newest(name, *version);
            }
            Applied::Upstream { instance, standing } => self.listed(instance, *standing),
            _ => {}
        }
        self.wake.ring();
    }
}
