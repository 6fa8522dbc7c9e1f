//! Bids for a turn to load, and which of them are granted it.

use pumicecleat_policy::{Bid, LoadOrder, LoadOrderOptions, LoraIx, UpstreamIx};
use pumicecleat_types::{LoadTurn, Millis};

/// Bid at a time, and whether the side is granted the turn.
struct Step {
    at: u64,
    side: u32,
    /// Adapter, number of waiting requests, and longest wait in milliseconds; `None` gives the turn back.
    bid: Option<(u32, u32, u64)>,
    granted: bool,
}

const fn bids(at: u64, side: u32, bid: (u32, u32, u64), granted: bool) -> Step {
    let bid = Some(bid);
    Step {
        at,
        side,
        bid,
        granted,
    }
}

const fn gives_back(at: u64, side: u32) -> Step {
    Step {
        at,
        side,
        bid: None,
        granted: false,
    }
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const CASES: &[Case] = &[
    Case {
        name: "the first bid is granted the turn",
        steps: &[bids(0, 1, (7, 1, 0), true)],
    },
    Case {
        name: "one turn is held at a time",
        steps: &[bids(0, 1, (7, 1, 0), true), bids(1, 2, (8, 9, 0), false)],
    },
    Case {
        name: "after the turn is given back, the side with the most requests is next",
        steps: &[
            bids(0, 1, (7, 1, 0), true),
            bids(10, 2, (8, 1, 300), false),
            bids(20, 3, (9, 4, 0), false),
            gives_back(500, 1),
            bids(501, 2, (8, 1, 800), false),
            bids(502, 3, (9, 4, 480), true),
        ],
    },
    Case {
        name: "of sides with equally many requests, the one with the longest wait is next",
        steps: &[
            bids(0, 1, (7, 1, 0), true),
            bids(10, 2, (8, 2, 0), false),
            bids(20, 3, (9, 2, 100), false),
            gives_back(500, 1),
            bids(501, 2, (8, 2, 490), false),
            bids(502, 3, (9, 2, 580), true),
        ],
    },
    Case {
        name: "the holder renews its turn by bidding for the same adapter",
        steps: &[
            bids(0, 1, (7, 1, 0), true),
            bids(1_500, 1, (7, 1, 0), true),
            bids(2_500, 2, (8, 9, 0), false),
        ],
    },
    Case {
        name: "a bid for another adapter ends the turn",
        steps: &[
            bids(0, 1, (7, 1, 0), true),
            bids(400, 2, (8, 2, 0), false),
            bids(500, 1, (9, 1, 0), false),
            bids(501, 2, (8, 2, 100), true),
        ],
    },
    Case {
        name: "a turn that is not renewed expires",
        steps: &[
            bids(0, 1, (7, 1, 0), true),
            bids(1_900, 2, (8, 1, 0), false),
            bids(2_000, 2, (8, 1, 100), true),
        ],
    },
    Case {
        name: "a bid that is not repeated is dropped",
        steps: &[
            bids(0, 1, (7, 1, 0), true),
            bids(10, 3, (9, 50, 0), false),
            bids(400, 2, (8, 1, 0), false),
            // Side 3 was due to bid again at 210 ms; its bid is dropped 1 s later.
            gives_back(1_100, 1),
            bids(1_101, 2, (8, 1, 700), false),
            bids(1_211, 2, (8, 1, 810), true),
        ],
    },
    Case {
        name: "giving back a turn that another side holds has no effect",
        steps: &[
            bids(0, 1, (7, 1, 0), true),
            gives_back(10, 2),
            bids(20, 3, (9, 5, 0), false),
        ],
    },
];

fn bid(fields: (u32, u32, u64)) -> Bid {
    let (lora, waiting, waited) = fields;
    Bid {
        lora: LoraIx(lora),
        waiting,
        left: Millis(10_000),
        waited: Millis(waited),
    }
}

/// Guards against two turns at once, and against a turn for a side that is not next.
#[test]
fn turns_are_granted_in_order() {
    for case in CASES {
        let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
        for step in case.steps {
            let bid = step.bid.map(bid);
            let turn = order.bid(UpstreamIx(step.side), bid.as_ref(), Millis(step.at));
            let granted = matches!(turn, LoadTurn::Granted { .. });
            assert_eq!(granted, step.granted, "{} at {}", case.name, step.at);
        }
    }
}

/// Guards against wait times that ignore the loads ahead of a side.
#[test]
fn wait_times_grow_with_the_number_of_loads_ahead() {
    let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
    let mut waits = |side, waiting, at| match order.bid(
        UpstreamIx(side),
        Some(&bid((side, waiting, 0))),
        Millis(at),
    ) {
        LoadTurn::Granted { .. } => [0, 0, 0],
        LoadTurn::Wait {
            again_ms,
            turn_ms,
            round_ms,
        } => [again_ms, turn_ms, round_ms],
    };
    assert_eq!(waits(1, 1, 0), [0, 0, 0]);
    assert_eq!(waits(2, 5, 450), [50, 50, 500]);
    // The current turn has 50 ms left, and half of the one load ahead is added.
    assert_eq!(waits(3, 1, 450), [300, 550, 1_000]);
    assert_eq!(waits(2, 5, 499), [5, 1, 1_000]);
    // A load that has taken longer than expected is assumed to take as long again.
    assert_eq!(waits(2, 5, 1_400), [5, 1_400, 1_000]);
}

/// Guards against turns that expire during each load when the store is slow.
#[test]
fn the_expected_load_time_follows_a_slow_store() {
    let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
    let side = UpstreamIx(1);
    let mut now = Millis(0);
    for lora in 0..30 {
        order.bid(side, Some(&bid((lora, 1, 0))), now);
        now = now + Millis(2_000);
    }
    let load_time = order.load_time();
    assert!(load_time > Millis(1_800), "{load_time:?}");
    order.remove_side(side);
    assert_eq!(order.holder(), None);
}

/// Guards against an idle store while sides wait: if the sides that are next in order do not bid again, one that was
/// told to bid much later is called once the store has been idle for a short time, and again until it bids or its bid
/// is removed.
#[test]
fn a_waiting_side_is_called_while_the_store_is_idle() {
    let mut order = LoadOrder::new_ext(LoadOrderOptions::default());
    let place_bid = |order: &mut LoadOrder, side: u32, at: u64| {
        let wanted = bid((side, 100 - side, 0));
        order.bid(UpstreamIx(side), Some(&wanted), Millis(at))
    };
    assert!(matches!(
        place_bid(&mut order, 0, 0),
        LoadTurn::Granted { .. }
    ));
    for side in 1..=80 {
        assert!(matches!(
            place_bid(&mut order, side, 10),
            LoadTurn::Wait { .. }
        ));
    }
    let LoadTurn::Wait { again_ms, .. } = place_bid(&mut order, 80, 20) else {
        panic!("the turn is held");
    };
    assert!(again_ms > 10_000, "{again_ms}");
    assert_eq!(order.side_to_call(Millis(400)), None, "the turn is held");
    order.bid(UpstreamIx(0), None, Millis(500));
    assert_eq!(
        order.side_to_call(Millis(700)),
        None,
        "the sides ahead may still bid"
    );
    for side in 1..80 {
        assert_eq!(order.side_to_call(Millis(701)), Some(UpstreamIx(side)));
        order.remove_bid(UpstreamIx(side));
    }
    assert_eq!(order.side_to_call(Millis(702)), Some(UpstreamIx(80)));
    assert_eq!(order.side_to_call(Millis(802)), Some(UpstreamIx(80)));
    assert!(matches!(
        place_bid(&mut order, 80, 810),
        LoadTurn::Granted { .. }
    ));
    assert_eq!(order.side_to_call(Millis(1_000)), None, "the turn is held");
}
