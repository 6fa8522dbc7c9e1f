//! Keys in parts: opened on demand, closed when idle, and opened by several sides at once.

mod bench;

use std::time::Duration;

use bench::{Bench, SPAN};
use pumicecleat_net::run;
use pumicecleat_side::Side;
use pumicecleat_standin::{LogFaults, ServiceFaults};
use pumicecleat_types::{Frame, Reason};

const PARTS: u32 = 8;
const PAUSE: Duration = Duration::from_millis(10);

/// Time of a call: long, as a machine that is busy takes some to open a part.
const LEFT_MS: u64 = 15_000;

/// Parts that a side may open at once.
const OPENING: usize = 4;

struct World {
    bench: Bench,
    sides: [Side; 2],
}

async fn world() -> World {
    let bench = Bench::start_parted(PARTS);
    let sides = [bench.service_side("vm-1"), bench.service_side("vm-2")];
    bench.until_healthy("vm-1").await;
    bench.until_healthy("vm-2").await;
    World { bench, sides }
}

/// Parts that a side has open, and those of them that it has read to the end.
struct Open {
    all: usize,
    ready: usize,
}

fn open(side: &Side) -> Open {
    let dump = serde_json::to_value(side.dump()).unwrap();
    let Some(open) = dump["keys"]["open"].as_object() else {
        return Open { all: 0, ready: 0 };
    };
    Open {
        all: open.len(),
        ready: open.values().filter(|p| p["caught_up"] == true).count(),
    }
}

/// Answer of the upstream, or the reason of a refusal.
type Told = Result<bool, Option<Reason>>;

impl World {
    async fn call(&self, side: usize, key: &str) -> Told {
        let mut run = self.bench.call("r", "/holds", Some(key), "x");
        run.head.left_ms = LEFT_MS;
        match self.bench.frames(&self.sides[side], &run).await.as_slice() {
            [Frame::Head { replayed, .. }, .., Frame::End { .. }] => Ok(*replayed),
            [Frame::Refused(refusal)] => Err(Some(refusal.reason)),
            _ => Err(None),
        }
    }

    /// Calls until the side says what is wanted.
    async fn until(&self, side: usize, key: &str, want: &Told) {
        self.until_any(side, key, std::slice::from_ref(want)).await;
    }

    async fn until_any(&self, side: usize, key: &str, want: &[Told]) {
        let calls = async {
            while !want.contains(&self.call(side, key).await) {
                self.bench.timer.sleep(PAUSE).await;
            }
        };
        let ended = self.bench.timer.within(SPAN, calls).await;
        ended.unwrap_or_else(|_| panic!("{key} at {side}: never {want:?}"));
    }

    async fn until_open(&self, side: usize, count: usize) {
        let opened = async {
            while open(&self.sides[side]).all != count {
                self.bench.timer.sleep(PAUSE).await;
            }
        };
        let ended = self.bench.timer.within(SPAN, opened).await;
        ended.unwrap_or_else(|_| panic!("{} open", open(&self.sides[side]).all));
    }

    async fn effects(&self, key: &str) -> u64 {
        let effects = self.bench.effects(self.bench.service.address).await;
        let rows = effects.as_array().unwrap().iter();
        let rows = rows.filter(|r| r["key"] == key);
        rows.map(|r| r["count"].as_u64().unwrap()).sum()
    }
}

#[test]
fn a_part_is_opened_by_its_first_call_and_closed_after_the_last() {
    run(async {
        let world = world().await;
        assert_eq!(open(&world.sides[0]).all, 0);
        assert_eq!(world.call(0, "k").await, Ok(false));
        assert_eq!(open(&world.sides[0]).all, 1);
        assert_eq!(open(&world.sides[1]).all, 0);
        world.until_open(0, 0).await;
        // Opened again, here and elsewhere, it holds what was recorded.
        world.until(0, "k", &Ok(true)).await;
        world.until(1, "k", &Ok(true)).await;
        world.until_open(0, 0).await;
        world.until_open(1, 0).await;
        world.until(1, "k", &Ok(true)).await;
        assert_eq!(world.effects("k").await, 1);
    })
    .unwrap();
}

#[test]
fn one_of_two_at_once_takes_effect_while_both_open() {
    run(async {
        let world = world().await;
        // Each round finds all parts closed at one side or both.
        for round in 0..3 {
            for n in 0..10 {
                let key = format!("k{round}-{n}");
                let both = futures_util::future::join(world.call(0, &key), world.call(1, &key));
                let (a, b) = both.await;
                assert_eq!(world.effects(&key).await, 1, "{key}: {a:?} {b:?}");
                assert!(a.is_ok() || b.is_ok(), "{key}: {a:?} {b:?}");
            }
            world.until_open(round % 2, 0).await;
        }
    })
    .unwrap();
}

struct Outage {
    name: &'static str,
    fault: fn(&mut LogFaults),
}

const OUTAGES: [Outage; 3] = [
    Outage {
        name: "down",
        fault: |f| f.down = true,
    },
    Outage {
        name: "stalled",
        fault: |f| f.stall = true,
    },
    Outage {
        name: "slow beyond the deadline",
        fault: |f| f.delay_ms = 1_800,
    },
];

#[test]
fn a_part_that_cannot_be_read_admits_nothing() {
    for outage in OUTAGES {
        run(async {
            let world = world().await;
            world.until(1, "k", &Ok(false)).await;
            let mut faults = LogFaults::default();
            (outage.fault)(&mut faults);
            world.bench.log.set_faults(faults);
            for (side, key) in [(0, "k"), (0, "new")] {
                let mut run = world.bench.call("r", "/holds", Some(key), "x");
                run.head.left_ms = 1_000;
                let frames = world.bench.frames(&world.sides[side], &run).await;
                let [Frame::Refused(refusal)] = frames.as_slice() else {
                    panic!("{}: {frames:?}", outage.name);
                };
                let reasons = [Reason::LogDown, Reason::Overloaded];
                assert!(
                    reasons.contains(&refusal.reason),
                    "{}: {refusal:?}",
                    outage.name
                );
                assert!(refusal.retry_ms > 0, "{}", outage.name);
            }
            assert_eq!(world.effects("new").await, 0, "{}", outage.name);
            world.bench.log.set_faults(LogFaults::default());
            world.until(0, "k", &Ok(true)).await;
            world.until(0, "new", &Ok(false)).await;
            assert_eq!(world.effects("k").await, 1, "{}", outage.name);
            assert_eq!(world.effects("new").await, 1, "{}", outage.name);
        })
        .unwrap();
    }
}

#[test]
fn few_parts_are_opened_at_once() {
    run(async {
        let world = world().await;
        let slow = LogFaults {
            delay_ms: 100,
            ..LogFaults::default()
        };
        world.bench.log.set_faults(slow);
        let keys: Vec<String> = (0..40).map(|n| format!("k{n}")).collect();
        let calls = futures_util::future::join_all(keys.iter().map(|k| world.call(0, k)));
        let watch = async {
            let mut most = 0;
            while open(&world.sides[0]).ready < PARTS as usize {
                let now = open(&world.sides[0]);
                most = most.max(now.all - now.ready);
                world.bench.timer.sleep(Duration::from_millis(1)).await;
            }
            most
        };
        let watch = world.bench.timer.within(SPAN, watch);
        let (told, most) = futures_util::future::join(calls, watch).await;
        assert!((1..=OPENING).contains(&most.unwrap()));
        assert!(told.iter().all(|t| *t == Ok(false)), "{told:?}");
    })
    .unwrap();
}

#[test]
fn a_side_killed_after_it_won_leaves_the_key_unknown() {
    run(async {
        let world = world().await;
        let mortal = world.bench.mortal_side("vm-3");
        world.bench.until_healthy("vm-3").await;
        let frozen = ServiceFaults {
            freeze: true,
            ..ServiceFaults::default()
        };
        world.bench.service.set_faults(frozen);
        let call = world.bench.call("r", "/holds", Some("k"), "x");
        let answer = world.bench.send_to(mortal.address, &call).await;
        // Another side that opens the part sees that the key is taken.
        let taken = [Reason::KeyBusy, Reason::KeyUnknown].map(|r| Err(Some(r)));
        world.until_any(0, "k", &taken).await;
        mortal.kill();
        drop(answer);
        world.bench.service.set_faults(ServiceFaults::default());
        world.until(1, "k", &Err(Some(Reason::KeyUnknown))).await;
        world.until(0, "k", &Err(Some(Reason::KeyUnknown))).await;
        assert!(world.effects("k").await <= 1);
        world.until(1, "other", &Ok(false)).await;
    })
    .unwrap();
}

#[test]
fn another_declaration_of_the_parts_is_refused() {
    run(async {
        let world = world().await;
        world.bench.deal_anew(PARTS + 1);
        world.until(0, "k", &Err(Some(Reason::StaleConfig))).await;
        world.until(1, "k", &Err(Some(Reason::StaleConfig))).await;
    })
    .unwrap();
}
