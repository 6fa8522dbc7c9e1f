//! The whole state of an entry for people.

use std::rc::Rc;

use pumicecleat_ops::Dump;
use pumicecleat_types::{RequestId, VmId};
use serde::{Deserialize, Serialize};

use crate::config::ConfigDump;
use crate::directory::SideDump;
use crate::shared::Shared;

/// Whole state of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryDump {
    /// Kind of process: `entry`.
    pub role: String,
    /// VM.
    pub vm: VmId,
    /// Peer address.
    pub address: String,
    /// Takes requests.
    pub ready: bool,
    /// Stops.
    pub stopping: bool,
    /// Configuration.
    pub config: ConfigDump,
    /// Sides, by VM.
    pub sides: Vec<SideDump>,
    /// Adapters' versions seen.
    pub loras: usize,
    /// VMs listed.
    pub listed: usize,
    /// Retries of refused attempts at hand.
    pub retries: u64,
    /// Retries of lost attempts at hand.
    pub losses: u64,
    /// Order of loads.
    pub order: OrderDump,
    /// Requests under way.
    pub open: Vec<RequestId>,
}

/// Order of loads from the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderDump {
    /// Weight store.
    pub store: String,
    /// Sides that wait for a turn.
    pub waiting: usize,
    /// Whether a side holds the turn.
    pub held: bool,
    /// Expected time of a load, milliseconds.
    pub load_ms: u64,
}

pub(super) struct State {
    shared: Rc<Shared>,
}

impl State {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
        }
    }

    fn dump(&self) -> EntryDump {
        let shared = &self.shared;
        let now = shared.timer.now();
        let directory = shared.directory.borrow();
        EntryDump {
            role: "entry".to_owned(),
            vm: shared.options.vm.clone(),
            address: shared.options.own_address.to_string(),
            ready: shared.readiness.is_ready(),
            stopping: shared.stop.is_asked(),
            config: shared.config.dump(now),
            sides: directory.dump(now),
            loras: directory.lora_count(),
            listed: directory.listed_count(),
            retries: shared.refusal_budget.borrow().available(),
            losses: shared.loss_budget.borrow().available(),
            order: self.order(),
            open: shared.drain.open(),
        }
    }

    fn order(&self) -> OrderDump {
        let order = self.shared.load_order.borrow();
        OrderDump {
            store: self.shared.options.weight_store.clone(),
            waiting: order.waiting_sides(),
            held: order.holder().is_some(),
            load_ms: order.load_time().0,
        }
    }
}

impl Dump for State {
    fn dump(&self) -> serde_json::Value {
        // Plain texts and numbers always encode.
        serde_json::to_value(State::dump(self)).unwrap_or_default()
    }
}
