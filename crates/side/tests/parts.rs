//! Keys split into parts that are opened on demand, closed when idle, and opened by several sides
//! at once.

mod bench;

use std::time::Duration;

use bench::{Bench, TIMEOUT};
use pumicecleat_net::run;
use pumicecleat_side::Side;
use pumicecleat_standin::{LogFaults, ServiceFaults};
use pumicecleat_types::{Frame, Reason};

const PARTS: u32 = 8;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time left for a call, in milliseconds; long, as opening a part takes a while on a busy machine.
const LEFT_MS: u64 = 15_000;

/// Number of parts that a side may be opening at the same time.
const MAX_OPENING: usize = 4;

struct World {
    bench: Bench,
    sides: [Side; 2],
}

async fn world() -> World {
    let bench = Bench::start_with_parts(PARTS);
    let sides = [bench.service_side("vm-1"), bench.service_side("vm-2")];
    bench.until_healthy("vm-1").await;
    bench.until_healthy("vm-2").await;
    World { bench, sides }
}

/// Open parts of a side.
struct OpenParts {
    all: usize,
    /// Those that the side has read to the end.
    ready: usize,
}

fn open_parts(side: &Side) -> OpenParts {
    let dump = serde_json::to_value(side.dump()).unwrap();
    let Some(open) = dump["keys"]["open"].as_object() else {
        return OpenParts { all: 0, ready: 0 };
    };
    OpenParts {
        all: open.len(),
        ready: open.values().filter(|p| p["caught_up"] == true).count(),
    }
}

/// Whether the answer was replayed, or the reason of a refusal, or `None` for another end.
type CallResult = Result<bool, Option<Reason>>;

impl World {
    async fn call(&self, side: usize, key: &str) -> CallResult {
        let mut run = self.bench.call("r", "/holds", Some(key), "x");
        run.head.time_left_ms = LEFT_MS;
        match self.bench.frames(&self.sides[side], &run).await.as_slice() {
            [Frame::Head { replayed, .. }, .., Frame::End { .. }] => Ok(*replayed),
            [Frame::Refused(refusal)] => Err(Some(refusal.reason)),
            _ => Err(None),
        }
    }

    /// Calls until the result is `want`.
    async fn until(&self, side: usize, key: &str, want: &CallResult) {
        self.until_any(side, key, std::slice::from_ref(want)).await;
    }

    async fn until_any(&self, side: usize, key: &str, want: &[CallResult]) {
        let calls = async {
            while !want.contains(&self.call(side, key).await) {
                self.bench.timer.sleep(POLL_INTERVAL).await;
            }
        };
        let ended = self.bench.timer.within(TIMEOUT, calls).await;
        ended.unwrap_or_else(|_| panic!("{key} at {side}: never {want:?}"));
    }

    async fn until_open(&self, side: usize, count: usize) {
        let opened = async {
            while open_parts(&self.sides[side]).all != count {
                self.bench.timer.sleep(POLL_INTERVAL).await;
            }
        };
        let ended = self.bench.timer.within(TIMEOUT, opened).await;
        ended.unwrap_or_else(|_| panic!("{} open", open_parts(&self.sides[side]).all));
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
        assert_eq!(open_parts(&world.sides[0]).all, 0);
        assert_eq!(world.call(0, "k").await, Ok(false));
        assert_eq!(open_parts(&world.sides[0]).all, 1);
        assert_eq!(open_parts(&world.sides[1]).all, 0);
        world.until_open(0, 0).await;
        // The part still has the record when it is opened again at this side or another.
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
        // At the start of each round all parts are closed at one side at least.
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
                run.head.time_left_ms = 1_000;
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
            let mut max_opening = 0;
            while open_parts(&world.sides[0]).ready < PARTS as usize {
                let now = open_parts(&world.sides[0]);
                max_opening = max_opening.max(now.all - now.ready);
                world.bench.timer.sleep(Duration::from_millis(1)).await;
            }
            max_opening
        };
        let watch = world.bench.timer.within(TIMEOUT, watch);
        let (results, max_opening) = futures_util::future::join(calls, watch).await;
        assert!((1..=MAX_OPENING).contains(&max_opening.unwrap()));
        assert!(results.iter().all(|t| *t == Ok(false)), "{results:?}");
    })
    .unwrap();
}

#[test]
fn a_side_killed_after_it_won_leaves_the_key_unknown() {
    run(async {
        let world = world().await;
        let killable = world.bench.killable_side("vm-3");
        world.bench.until_healthy("vm-3").await;
        let frozen = ServiceFaults {
            freeze: true,
            ..ServiceFaults::default()
        };
        world.bench.service.set_faults(frozen);
        let call = world.bench.call("r", "/holds", Some("k"), "x");
        let answer = world.bench.send_to(killable.address, &call).await;
        // Another side that opens the part sees that the key is in use.
        let taken = [Reason::KeyBusy, Reason::KeyUnknown].map(|r| Err(Some(r)));
        world.until_any(0, "k", &taken).await;
        killable.kill();
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
        world.bench.redeclare_parts(PARTS + 1);
        world.until(0, "k", &Err(Some(Reason::StaleConfig))).await;
        world.until(1, "k", &Err(Some(Reason::StaleConfig))).await;
    })
    .unwrap();
}
