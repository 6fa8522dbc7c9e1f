//! Cases of the load order: who asks, and who gets the turn.

use pumicecleat_policy::{Bid, LoadOrder, LoadOrderOptions, LoraIx, UpstreamIx};
use pumicecleat_types::{LoadTurn, Millis};

/// A bid at a time, and whether it gets the turn.
struct Step {
    at: u64,
    side: u32,
    /// Adapter, requests waiting and longest wait; `None` gives the turn back.
    bid: Option<(u32, u32, u64)>,
    go: bool,
}

const fn asks(at: u64, side: u32, bid: (u32, u32, u64), go: bool) -> Step {
    let bid = Some(bid);
    Step { at, side, bid, go }
}

const fn gives(at: u64, side: u32) -> Step {
    Step {
        at,
        side,
        bid: None,
        go: false,
    }
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const CASES: &[Case] = &[
    Case {
        name: "the first bid goes",
        steps: &[asks(0, 1, (7, 1, 0), true)],
    },
    Case {
        name: "one at a time",
        steps: &[asks(0, 1, (7, 1, 0), true), asks(1, 2, (8, 9, 0), false)],
    },
    Case {
        name: "given back, the most requests go first",
        steps: &[
            asks(0, 1, (7, 1, 0), true),
            asks(10, 2, (8, 1, 300), false),
            asks(20, 3, (9, 4, 0), false),
            gives(500, 1),
            asks(501, 2, (8, 1, 800), false),
            asks(502, 3, (9, 4, 480), true),
        ],
    },
    Case {
        name: "among equals the longest wait goes first",
        steps: &[
            asks(0, 1, (7, 1, 0), true),
            asks(10, 2, (8, 2, 0), false),
            asks(20, 3, (9, 2, 100), false),
            gives(500, 1),
            asks(501, 2, (8, 2, 490), false),
            asks(502, 3, (9, 2, 580), true),
        ],
    },
    Case {
        name: "the holder keeps its turn by bidding for the same adapter",
        steps: &[
            asks(0, 1, (7, 1, 0), true),
            asks(1_500, 1, (7, 1, 0), true),
            asks(2_500, 2, (8, 9, 0), false),
        ],
    },
    Case {
        name: "a bid for another adapter ends the turn",
        steps: &[
            asks(0, 1, (7, 1, 0), true),
            asks(400, 2, (8, 2, 0), false),
            asks(500, 1, (9, 1, 0), false),
            asks(501, 2, (8, 2, 100), true),
        ],
    },
    Case {
        name: "a turn that isn't kept lapses",
        steps: &[
            asks(0, 1, (7, 1, 0), true),
            asks(1_900, 2, (8, 1, 0), false),
            asks(2_000, 2, (8, 1, 100), true),
        ],
    },
    Case {
        name: "a bid that isn't repeated counts no more",
        steps: &[
            asks(0, 1, (7, 1, 0), true),
            asks(10, 3, (9, 50, 0), false),
            asks(400, 2, (8, 1, 0), false),
            // It was due again at 210, and counts for a second more.
            gives(1_100, 1),
            asks(1_101, 2, (8, 1, 700), false),
            asks(1_211, 2, (8, 1, 810), true),
        ],
    },
    Case {
        name: "giving back a turn that another holds changes nothing",
        steps: &[
            asks(0, 1, (7, 1, 0), true),
            gives(10, 2),
            asks(20, 3, (9, 5, 0), false),
        ],
    },
];

fn bid(of: (u32, u32, u64)) -> Bid {
    let (lora, waiting, waited) = of;
    Bid {
        lora: LoraIx(lora),
        waiting,
        left: Millis(10_000),
        waited: Millis(waited),
    }
}

#[test]
fn turns() {
    for case in CASES {
        let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
        for step in case.steps {
            let bid = step.bid.map(bid);
            let turn = order.bid(UpstreamIx(step.side), bid.as_ref(), Millis(step.at));
            let go = matches!(turn, LoadTurn::Go { .. });
            assert_eq!(go, step.go, "{} at {}", case.name, step.at);
        }
    }
}

/// Sides wait the longer the more loads come before theirs.
#[test]
fn waits_by_rank() {
    let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
    let mut waits = |side, waiting, at| match order.bid(
        UpstreamIx(side),
        Some(&bid((side, waiting, 0))),
        Millis(at),
    ) {
        LoadTurn::Go { .. } => [0, 0, 0],
        LoadTurn::Wait {
            again_ms,
            turn_ms,
            round_ms,
        } => [again_ms, turn_ms, round_ms],
    };
    assert_eq!(waits(1, 1, 0), [0, 0, 0]);
    assert_eq!(waits(2, 5, 450), [50, 50, 500]);
    // The turn that holds has 50 ms left, and half of the one load before counts.
    assert_eq!(waits(3, 1, 450), [300, 550, 1_000]);
    assert_eq!(waits(2, 5, 499), [5, 1, 1_000]);
    // A load that takes longer than expected may take as long again.
    assert_eq!(waits(2, 5, 1_400), [5, 1_400, 1_000]);
}

/// A slow store shows in the turns, and they lapse the later for it.
#[test]
fn learns_a_slow_store() {
    let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
    let side = UpstreamIx(1);
    let mut now = Millis(0);
    for lora in 0..30 {
        order.bid(side, Some(&bid((lora, 1, 0))), now);
        now = now + Millis(2_000);
    }
    let load = order.load_time();
    assert!(load > Millis(1_800), "{load:?}");
    order.remove_side(side);
    assert_eq!(order.holder(), None);
}

/// Of many that wait, those in front vanish; one that was told to come back much later is called
/// once the store has stood idle for a moment, and again until it bids or is given up.
#[test]
fn calls_while_the_store_stands_idle() {
    let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
    let ask = |order: &mut LoadOrder, side: u32, at: u64| {
        let wanted = bid((side, 100 - side, 0));
        order.bid(UpstreamIx(side), Some(&wanted), Millis(at))
    };
    assert!(matches!(ask(&mut order, 0, 0), LoadTurn::Go { .. }));
    for side in 1..=80 {
        assert!(matches!(ask(&mut order, side, 10), LoadTurn::Wait { .. }));
    }
    let LoadTurn::Wait { again_ms, .. } = ask(&mut order, 80, 20) else {
        panic!("the turn is held");
    };
    assert!(again_ms > 10_000, "{again_ms}");
    assert_eq!(order.side_to_call(Millis(400)), None, "the turn is held");
    order.bid(UpstreamIx(0), None, Millis(500));
    assert_eq!(
        order.side_to_call(Millis(700)),
        None,
        "those in front may come yet"
    );
    for side in 1..80 {
        assert_eq!(order.side_to_call(Millis(701)), Some(UpstreamIx(side)));
        order.remove_bid(UpstreamIx(side));
    }
    assert_eq!(order.side_to_call(Millis(702)), Some(UpstreamIx(80)));
    assert_eq!(order.side_to_call(Millis(802)), Some(UpstreamIx(80)));
    assert!(matches!(ask(&mut order, 80, 810), LoadTurn::Go { .. }));
    assert_eq!(order.side_to_call(Millis(1_000)), None, "the turn is held");
}
