//! Bids of sides for a turn at the weight store, and calls for bids while the store is idle.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::post;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{Bid, LoraIx, UpstreamIx};
use pumicecleat_types::{BidRequest, BidRequestReply, LoadBid, LoadTurn, Lora, Millis};

use crate::shared::Shared;

const CALL_PATH: &str = "/peer/v1/call";

const CALL_TIMEOUT: Duration = Duration::from_millis(250);

const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Calls for bids while the store is idle, until the process ends.
pub(crate) async fn call_bidders(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        while call_next(&shared).await {}
    }
}

/// Calls the side that is due to bid. Returns true if it will not bid, so that another one should be
/// called.
async fn call_next(shared: &Shared) -> bool {
    let now = shared.timer.now();
    let Some(up) = shared.load_order.borrow_mut().side_to_call(now) else {
        return false;
    };
    let address = shared.directory.borrow().address(up);
    let call = BidRequest { at_ms: now.0 };
    let reply = match address {
        Some(address) => post(
            &shared.side_client,
            &address,
            CALL_PATH,
            &call,
            CALL_TIMEOUT,
        )
        .await
        .ok(),
        None => None,
    };
    let bids = reply.is_some_and(|called: BidRequestReply| called.bids);
    if !bids {
        shared.load_order.borrow_mut().remove_bid(up);
    }
    !bids
}

pub(super) fn handle_bid(shared: &Shared, bid: &LoadBid) -> LoadTurn {
    let now = shared.timer.now();
    let up = shared.directory.borrow_mut().upstream_index(&bid.vm);
    let policy_bid = bid.lora.as_deref().map(|name| Bid {
        lora: lora_index(shared, name),
        waiting: bid.waiting,
        left: Millis(bid.time_left_ms),
        waited: Millis(bid.waited_ms),
    });
    let previous = shared.load_order.borrow().holder();
    let turn = shared
        .load_order
        .borrow_mut()
        .bid(up, policy_bid.as_ref(), now);
    let load_time = shared.load_order.borrow().load_time();
    shared.directory.borrow_mut().set_load_time(load_time);
    if let LoadTurn::Granted { .. } = turn {
        log_granted(shared, bid, previous, up);
    }
    turn
}

/// Logs that a turn was granted, and that the previous one expired if it was not returned.
fn log_granted(
    shared: &Shared,
    bid: &LoadBid,
    previous: Option<(UpstreamIx, LoraIx)>,
    up: UpstreamIx,
) {
    if let Some((holder, lora)) = previous {
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

/// Index of the adapter version with an engine name. The declared base model is used, because the
/// load order only compares names.
fn lora_index(shared: &Shared, engine_name: &str) -> LoraIx {
    let (adapter, version) = engine_name.rsplit_once('@').unwrap_or((engine_name, ""));
    let base = shared.config.with(|config| {
        let declared = config.adapters.get(adapter);
        declared.map(|a| a.base.clone()).unwrap_or_default()
    });
    let lora = Lora::new(base.as_str(), adapter, version);
    shared.directory.borrow_mut().lora_index(&lora)
}
