//! State of an entry, as shown to operators.

use std::rc::Rc;

use pumicecleat_ops::Dump;
use pumicecleat_types::{RequestId, VmId};
use serde::{Deserialize, Serialize};

use crate::config::ConfigDump;
use crate::directory::SideDump;
use crate::shared::Shared;

/// State of an entry, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryDump {
    /// Kind of process: `entry`.
    pub role: String,
    /// VM.
    pub vm: VmId,
    /// Address at which others reach the peer listener.
    pub address: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Configuration.
    pub config: ConfigDump,
    /// Sides, in the order of their VMs.
    pub sides: Vec<SideDump>,
    /// Number of adapter versions seen.
    pub loras: usize,
    /// Number of entries and upstreams in the VM list.
    pub listed: usize,
    /// Retries of refused attempts left in the budget.
    pub retries: u64,
    /// Retries of lost attempts left in the budget.
    pub losses: u64,
    /// Order of loads.
    pub order: OrderDump,
    /// Requests in progress.
    pub open: Vec<RequestId>,
}

/// Order of loads from the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderDump {
    /// Weight store.
    pub store: String,
    /// Number of sides that wait for a turn.
    pub waiting: usize,
    /// Whether a side holds a turn.
    pub held: bool,
    /// Expected time of a load, in milliseconds.
    pub load_ms: u64,
}

pub(super) struct StateDump {
    shared: Rc<Shared>,
}

impl StateDump {
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
            stopping: shared.stop.is_requested(),
            config: shared.config.dump(now),
            sides: directory.dump(now),
            loras: directory.lora_count(),
            listed: directory.listed_count(),
            retries: shared.refusal_budget.borrow().available(),
            losses: shared.loss_budget.borrow().available(),
            order: self.order_dump(),
            open: shared.drain.in_flight(),
        }
    }

    fn order_dump(&self) -> OrderDump {
        let order = self.shared.load_order.borrow();
        OrderDump {
            store: self.shared.options.weight_store.clone(),
            waiting: order.waiting_sides(),
            held: order.holder().is_some(),
            load_ms: order.load_time().0,
        }
    }
}

impl Dump for StateDump {
    fn dump(&self) -> serde_json::Value {
        // Serialization of plain strings and numbers can't fail.
        serde_json::to_value(StateDump::dump(self)).unwrap_or_default()
    }
}
