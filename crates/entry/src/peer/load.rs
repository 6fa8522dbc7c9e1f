//! Bids for a turn at the weight store.

use pumicecleat_ops::{events, field};
use pumicecleat_policy::{Bid, LoraIx, UpstreamIx};
use pumicecleat_types::{LoadBid, LoadTurn, Lora, Millis};

use crate::shared::Shared;

pub(super) fn answer(shared: &Shared, bid: &LoadBid) -> LoadTurn {
    let now = shared.timer.now();
    let up = shared.directory.borrow_mut().upstream(&bid.vm);
    let wanted = bid.lora.as_deref().map(|name| Bid {
        lora: lora(shared, name),
        waiting: bid.waiting,
        left: Millis(bid.left_ms),
        waited: Millis(bid.waited_ms),
    });
    let before = shared.order.borrow().holder();
    let turn = shared.order.borrow_mut().bid(up, wanted.as_ref(), now);
    let load = shared.order.borrow().load();
    shared.directory.borrow_mut().set_load(load);
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
            field("upstream", directory.vm(holder)),
            field("lora", directory.engine(lora)),
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
    let base = shared.current.with(|config| {
        let declared = config.adapters.get(adapter);
        declared.map(|a| a.base.clone()).unwrap_or_default()
    });
    let lora = Lora::new(base.as_str(), adapter, version);
    shared.directory.borrow_mut().lora(&lora)
}
