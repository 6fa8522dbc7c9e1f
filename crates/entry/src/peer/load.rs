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
    note(shared, bid, before, up, turn);
    turn
}

fn note(
    shared: &Shared,
    bid: &LoadBid,
    before: Option<(UpstreamIx, LoraIx)>,
    up: UpstreamIx,
    turn: LoadTurn,
) {
    let same = before.is_some_and(|(holder, _)| holder == up);
    let (LoadTurn::Go { .. }, false, Some(lora)) = (turn, same, &bid.lora) else {
        return;
    };
    let fields = [
        field("upstream", &bid.vm),
        field("lora", lora),
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
