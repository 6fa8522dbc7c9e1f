//! The order of loads: time of a bid, and bids a second while sides wait for their turn.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_policy::{Bid, LoadOrder, LoadOrderOptions, LoraIx, UpstreamIx};
use pumicecleat_types::{LoadBid, LoadTurn, Millis, encode};

use super::clock::cost;
use super::fleet::vm;
use super::line::{Figure, Sample, Series};

/// Sides that want a load.
const SIDES: [u32; 5] = [10, 100, 325, 975, 7_800];

/// Bids in a batch.
const BATCH: u32 = 100;

/// Time of a load at the store, one at a time.
const LOAD: Millis = Millis(500);

/// Virtual time watched, seconds and the same as a span.
const SECONDS: u32 = 120;
const SPAN: Millis = Millis(SECONDS as u64 * 1_000);

/// Time for a bid and its reply.
const LAG: Millis = Millis(4);

/// Runs all.
pub(super) fn run() {
    let figure = |name, unit| Figure {
        part: "order",
        name,
        unit,
        per: "side that wants a load",
    };
    let mut time = Series::new(figure("a bid", "us"));
    let mut rate = Series::new(figure("bids", "a second"));
    let mut turns = Series::new(figure("turns given", "a second"));
    for sides in SIDES {
        let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
        (0..sides).for_each(|side| {
            bid(&mut order, side, Millis(0), Millis(1));
        });
        time.add(
            sides,
            cost(BATCH, |n| {
                bid(&mut order, n % sides, Millis(0), Millis(2));
            }),
        );
        let seen = watch(sides);
        rate.add(sides, Sample::once(seen.bids));
        turns.add(sides, Sample::once(seen.turns));
    }
    time.fit();
    rate.fit();
    turns.fit();
    print_bytes();
}

/// What a busy order saw, a second.
struct Seen {
    bids: f64,
    turns: f64,
}

/// What a side does at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Bid,
    GiveBack,
}

/// Sides that each want loads one after the other, in virtual time.
fn watch(sides: u32) -> Seen {
    let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
    let start = |side| (Millis(u64::from(side) % 200), side, Step::Bid);
    let mut due: BTreeSet<(Millis, u32, Step)> = (0..sides).map(start).collect();
    // Since when each wants its load: bids tell how long it has waited.
    let mut since: BTreeMap<u32, Millis> = BTreeMap::new();
    let (mut bids, mut turns) = (0, 0);
    while let Some((now, side, step)) = due.pop_first() {
        if now >= SPAN {
            break;
        }
        if step == Step::GiveBack {
            order.bid(UpstreamIx(side), None, now);
            since.insert(side, now);
            due.insert((now + LAG, side, Step::Bid));
            continue;
        }
        bids += 1;
        let from = since.get(&side).copied().unwrap_or_default();
        match bid(&mut order, side, from, now) {
            LoadTurn::Granted { .. } => {
                turns += 1;
                due.insert((now + LOAD, side, Step::GiveBack));
            }
            LoadTurn::Wait { again_ms, .. } => {
                due.insert((now + Millis(again_ms) + LAG, side, Step::Bid));
            }
        }
    }
    let seconds = f64::from(SECONDS);
    Seen {
        bids: f64::from(bids) / seconds,
        turns: f64::from(turns) / seconds,
    }
}

fn bid(order: &mut LoadOrder, side: u32, from: Millis, now: Millis) -> LoadTurn {
    let wanted = Bid {
        lora: LoraIx(side),
        waiting: 1 + side % 5,
        left: Millis(20_000),
        waited: now.since(from),
    };
    order.bid(UpstreamIx(side), Some(&wanted), now)
}

fn print_bytes() {
    let message = LoadBid {
        vm: vm(1_234).as_str().into(),
        lora: Some("adapter-01234@v0".to_owned()),
        waiting: 3,
        time_left_ms: 20_000,
        waited_ms: 1_500,
    };
    let mut series = Series::new(Figure {
        part: "order",
        name: "a bid, encoded",
        unit: "bytes",
        per: "bid",
    });
    let bytes = u32::try_from(encode(&message).len()).unwrap_or(u32::MAX);
    series.add(1, Sample::once(f64::from(bytes)));
    let reply = encode(&LoadTurn::Wait {
        again_ms: 200,
        turn_ms: 2_000,
        round_ms: 4_000,
    });
    let bytes = u32::try_from(reply.len()).unwrap_or(u32::MAX);
    series.add(1, Sample::once(f64::from(bytes)));
}
