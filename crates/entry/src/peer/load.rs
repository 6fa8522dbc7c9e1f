//! Bids for a turn at the weight store, and calls for one while it stands idle.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::post;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{Bid, LoraIx, UpstreamIx};
use pumicecleat_types::{LoadBid, LoadCall, LoadCalled, LoadTurn, Lora, Millis};

use crate::shared::Shared;

/// Path of a call.
const CALL_PATH: &str = "/peer/v1/call";

/// Time for a side to answer a call.
const CALL_SPAN: Duration = Duration::from_millis(250);

/// Time between two looks at an idle store.
const LOOK: Duration = Duration::from_millis(100);

/// Calls sides while the store stands idle, until the process ends.
pub(crate) async fn call_idle(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(LOOK).await;
        while call_next(&shared).await {}
    }
}

/// Calls the side that should bid now; true if it does not, so that another should be called.
async fn call_next(shared: &Shared) -> bool {
    let now = shared.timer.now();
    let Some(up) = shared.load_order.borrow_mut().side_to_call(now) else {
        return false;
    };
    let address = shared.directory.borrow().address(up);
    let call = LoadCall { at_ms: now.0 };
    let reply = match address {
        Some(side) => post(&shared.side_client, &side, CALL_PATH, &call, CALL_SPAN)
            .await
            .ok(),
        None => None,
    };
    let bids = reply.is_some_and(|called: LoadCalled| called.bids);
    if !bids {
        shared.load_order.borrow_mut().remove_bid(up);
    }
    !bids
}

pub(super) fn answer(shared: &Shared, bid: &LoadBid) -> LoadTurn {
    let now = shared.timer.now();
    let up = shared.directory.borrow_mut().upstream_index(&bid.vm);
    let wanted = bid.lora.as_deref().map(|name| Bid {
        lora: lora(shared, name),
        waiting: bid.waiting,
        left: Millis(bid.left_ms),
        waited: Millis(bid.waited_ms),
    });
    let before = shared.load_order.borrow().holder();
    let turn = shared.load_order.borrow_mut().bid(up, wanted.as_ref(), now);
    let load = shared.load_order.borrow().load_time();
    shared.directory.borrow_mut().set_load_time(load);
    if let LoadTurn::Go { .. } = turn {
        note(shared, bid, before, up);
    }
    turn
}

/// Logs a turn that was given, and the one before if it was not given back.
fn note(shared: &Shared, bid: &LoadBid, before: Option<(UpstreamIx, LoraIx)>, up: UpstreamIx) {
    if let Some((holder, lora)) = before {
        if holder == up {
            return;
        }
        let directory = shared.directory.borrow();
        let fields = [
            field("upstream", directory.vm_name(holder)),
            field("lora", directory.engine_name(lora)),
        ];
        shared.log.emit(&events::TURN_LAPSED, &fields);
    }
    let fields = [
        field("upstream", &bid.vm),
        field("lora", bid.lora.as_deref().unwrap_or_default()),
        field("waiting", bid.waiting),
    ];
    shared.log.emit(&events::TURN_GIVEN, &fields);
}

/// Index of an engine name; its base model is the one declared, as the order compares names only.
fn lora(shared: &Shared, engine: &str) -> LoraIx {
    let (adapter, version) = engine.rsplit_once('@').unwrap_or((engine, ""));
    let base = shared.config.with(|config| {
        let declared = config.adapters.get(adapter);
        declared.map(|a| a.base.clone()).unwrap_or_default()
    });
    let lora = Lora::new(base.as_str(), adapter, version);
    shared.directory.borrow_mut().lora_index(&lora)
}
