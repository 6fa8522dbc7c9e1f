//! At-most-once execution of keyed calls that reach a service through two sides.

mod bench;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bench::{Bench, body_of};
use pumicecleat_net::run;
use pumicecleat_ops::{Level, Log as EventLog, LogOptions, events};
use pumicecleat_side::Side;
use pumicecleat_standin::{LogFaults, ServiceFaults};
use pumicecleat_types::{Frame, Ran, Reason};

struct Pair {
    bench: Bench,
    sides: [Side; 2],
}

async fn pair() -> Pair {
    pair_of(|bench| bench.service_side("vm-1")).await
}

/// Two sides of one service, of which `first` makes the first one.
async fn pair_of(first: impl FnOnce(&Bench) -> Side) -> Pair {
    let bench = Bench::start();
    let sides = [first(&bench), bench.service_side("vm-2")];
    bench.until_healthy("vm-1").await;
    bench.until_healthy("vm-2").await;
    let pair = Pair { bench, sides };
    pair.until_keys_ready().await;
    pair
}

impl Pair {
    /// Waits until both sides have read the log to its end.
    async fn until_keys_ready(&self) {
        for (n, side) in self.sides.iter().enumerate() {
            let key = format!("warm-{n}");
            while self.call(side, &key, "warm").await != CallResult::Completed(false) {
                self.bench.timer.sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn call(&self, side: &Side, key: &str, body: &str) -> CallResult {
        let run = self.bench.call("r", "/holds", Some(key), body);
        result_of(&self.bench.frames(side, &run).await)
    }

    /// Number of times that calls with `key` took effect.
    async fn effects(&self, key: &str) -> u64 {
        let effects = self.bench.effects(self.bench.service.address).await;
        let rows = effects.as_array().unwrap().iter();
        rows.filter(|r| r["key"] == key)
            .map(|r| r["count"].as_u64().unwrap())
            .sum()
    }
}

/// Result of an attempt.
#[derive(Debug, PartialEq)]
enum CallResult {
    /// Answered; `true` if with the recorded answer.
    Completed(bool),
    NotRun(Reason),
    Unknown,
}

fn result_of(frames: &[Frame]) -> CallResult {
    match frames {
        [Frame::Refused(refusal)] => CallResult::NotRun(refusal.reason),
        [Frame::Broken { ran, .. }] => {
            assert_ne!(*ran, Ran::No);
            CallResult::Unknown
        }
        [Frame::Head { replayed, .. }, .., Frame::End { .. }] => {
            assert!(!body_of(frames).is_empty());
            CallResult::Completed(*replayed)
        }
        _ => panic!("{frames:?}"),
    }
}

#[test]
fn a_repeat_gets_the_recorded_answer_from_either_side() {
    run(async {
        let pair = pair().await;
        assert_eq!(
            pair.call(&pair.sides[0], "k", "seat 4").await,
            CallResult::Completed(false)
        );
        for side in &pair.sides {
            let again = async {
                while pair.call(side, "k", "seat 4").await != CallResult::Completed(true) {
                    pair.bench.timer.sleep(Duration::from_millis(10)).await;
                }
            };
            pair.bench
                .timer
                .within(bench::TIMEOUT, again)
                .await
                .expect("a recorded answer");
        }
        assert_eq!(pair.effects("k").await, 1);
        let other = pair.call(&pair.sides[1], "k", "seat 5").await;
        assert_eq!(other, CallResult::NotRun(Reason::KeyReused));
    })
    .unwrap();
}

#[test]
fn one_of_two_at_once_takes_effect() {
    run(async {
        let pair = pair().await;
        for n in 0..20 {
            let key = format!("k{n}");
            let first = pair.call(&pair.sides[0], &key, "x");
            let second = pair.call(&pair.sides[1], &key, "x");
            let (a, b) = futures_util::future::join(first, second).await;
            assert_eq!(pair.effects(&key).await, 1, "{a:?} {b:?}");
            assert!(
                [&a, &b]
                    .iter()
                    .any(|t| matches!(t, CallResult::Completed(_))),
                "{a:?} {b:?}"
            );
        }
    })
    .unwrap();
}

struct Fault {
    name: &'static str,
    faults: fn(&mut LogFaults, &mut ServiceFaults),
    allowed: fn(&CallResult) -> bool,
    /// Numbers of effects that are allowed.
    effects: std::ops::RangeInclusive<u64>,
}

const fn fault(
    name: &'static str,
    faults: fn(&mut LogFaults, &mut ServiceFaults),
    allowed: fn(&CallResult) -> bool,
    effects: std::ops::RangeInclusive<u64>,
) -> Fault {
    Fault {
        name,
        faults,
        allowed,
        effects,
    }
}

fn is_fresh(result: &CallResult) -> bool {
    *result == CallResult::Completed(false)
}

fn is_log_down(result: &CallResult) -> bool {
    *result == CallResult::NotRun(Reason::LogDown)
}

fn is_unknown(result: &CallResult) -> bool {
    *result == CallResult::Unknown
}

const FAULTS: [Fault; 8] = [
    fault(
        "append reply lost",
        |f, _| f.lose_replies = 1,
        is_fresh,
        1..=1,
    ),
    fault("appends refused", |f, _| f.reject = 3, is_log_down, 0..=0),
    fault("log down", |f, _| f.down = true, is_log_down, 0..=0),
    fault("log stalls", |f, _| f.stall = true, is_log_down, 0..=0),
    fault("answer lost", |_, f| f.lose_answers = 1, is_unknown, 1..=1),
    fault("answer cut", |_, f| f.truncate = 1, is_unknown, 1..=1),
    fault(
        "fails after the effect",
        |_, f| f.fail_after = 1,
        is_fresh,
        1..=1,
    ),
    fault("service freezes", |_, f| f.freeze = true, is_unknown, 0..=1),
];

#[test]
fn no_fault_doubles_an_effect_or_hides_one() {
    for fault in FAULTS {
        run(async {
            let pair = pair().await;
            let (mut log, mut service) = Default::default();
            (fault.faults)(&mut log, &mut service);
            pair.bench.log.set_faults(log);
            pair.bench.service.set_faults(service);
            let mut run = pair.bench.call("r", "/holds", Some("k"), "x");
            run.head.time_left_ms = 1_500;
            let first = result_of(&pair.bench.frames(&pair.sides[0], &run).await);
            assert!((fault.allowed)(&first), "{}: {first:?}", fault.name);
            pair.bench.log.inject(|_| {});
            pair.bench.service.inject(|_| {});
            let effects = pair.effects("k").await;
            assert!(
                fault.effects.contains(&effects),
                "{}: {effects}",
                fault.name
            );
            pair.retry_until_settled(&fault, &first).await;
        })
        .unwrap();
    }
}

impl Pair {
    /// Retries through the other side until the outcome of the key is final, and checks the number
    /// of effects.
    async fn retry_until_settled(&self, fault: &Fault, first: &CallResult) {
        let settled = async {
            loop {
                match self.call(&self.sides[1], "k", "x").await {
                    CallResult::Completed(_) => return true,
                    CallResult::NotRun(Reason::KeyUnknown) if *first == CallResult::Unknown => {
                        return false;
                    }
                    _ => self.bench.timer.sleep(Duration::from_millis(50)).await,
                }
            }
        };
        let answered = self.bench.timer.within(bench::TIMEOUT, settled).await;
        let answered = answered.unwrap_or_else(|_| panic!("{}: never settled", fault.name));
        let effects = self.effects("k").await;
        assert!(effects <= 1, "{}: {effects} effects", fault.name);
        assert!(!answered || effects == 1, "{}", fault.name);
    }
}

#[test]
fn an_old_key_is_refused() {
    run(async {
        let pair = pair().await;
        // A UUIDv7 with a time in 2024.
        let result = pair
            .call(&pair.sides[0], "018d0000-0000-7000-8000-000000000000", "x")
            .await;
        assert_eq!(result, CallResult::NotRun(Reason::KeyExpired));
    })
    .unwrap();
}

#[test]
fn a_service_that_is_gone_is_told_as_not_run() {
    run(async {
        let pair = pair().await;
        pair.bench.service.stop();
        pair.bench.timer.sleep(Duration::from_millis(20)).await;
        let result = pair.call(&pair.sides[0], "k", "x").await;
        assert!(matches!(result, CallResult::NotRun(_)), "{result:?}");
    })
    .unwrap();
}

#[test]
fn an_outage_ends_also_for_a_quiet_stream() {
    run(async {
        let pair = pair().await;
        let side = &pair.sides[0];
        let up = || serde_json::to_value(side.dump()).unwrap()["keys"]["up"] == true;
        let until = async |want: bool| {
            let seen = async {
                while up() != want {
                    pair.bench.timer.sleep(Duration::from_millis(10)).await;
                }
            };
            pair.bench.timer.within(bench::TIMEOUT, seen).await.unwrap();
        };
        let down = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        pair.bench.log.set_faults(down);
        until(false).await;
        pair.bench.log.set_faults(LogFaults::default());
        until(true).await;
        assert_eq!(
            pair.call(side, "k", "x").await,
            CallResult::Completed(false)
        );
    })
    .unwrap();
}

/// Time left for a call.
const TIME_LEFT: Duration = Duration::from_millis(500);
/// Pause of the side, longer than the time left for the call.
const FREEZE_TIME: Duration = Duration::from_millis(700);

/// Log writer that blocks the thread for `FREEZE_TIME`, as a pause of the process would, on the
/// line that a call has won its key. The side then knows that the attempt has won, and has not sent
/// it yet.
struct FreezeOnceWon {
    armed: Arc<AtomicBool>,
}

impl Write for FreezeOnceWon {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let won = String::from_utf8_lossy(line).contains(events::KEY_WON.code);
        if won && self.armed.swap(false, Ordering::Relaxed) {
            std::thread::sleep(FREEZE_TIME);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Regression test for a call that wins its key and is sent after its deadline. A test that looked
/// for the moment between win and send from another task missed it, so the log writer blocks there.
#[test]
fn a_won_call_is_not_sent_after_its_deadline() {
    run(async {
        let armed = Arc::new(AtomicBool::new(false));
        let freeze = FreezeOnceWon {
            armed: Arc::clone(&armed),
        };
        let options = LogOptions {
            level: Level::Debug,
            ..LogOptions::default()
        };
        let log = EventLog::to_writer_sync(&options, freeze);
        let pair = pair_of(|bench| bench.logging_side("vm-1", &log)).await;
        armed.store(true, Ordering::Relaxed);
        let mut run = pair.bench.call("r", "/holds", Some("k"), "x");
        run.head.time_left_ms = u64::try_from(TIME_LEFT.as_millis()).unwrap();
        let first = result_of(&pair.bench.frames(&pair.sides[0], &run).await);
        assert!(
            !armed.load(Ordering::Relaxed),
            "the call won and the side paused"
        );
        assert_eq!(pair.effects("k").await, 0, "{first:?}");
        assert_eq!(first, CallResult::NotRun(Reason::Deadline));
        let again = async {
            while pair.call(&pair.sides[1], "k", "x").await != CallResult::Completed(false) {
                pair.bench.timer.sleep(Duration::from_millis(20)).await;
            }
        };
        let settled = pair.bench.timer.within(bench::TIMEOUT, again).await;
        settled.expect("the key is available again");
        assert_eq!(pair.effects("k").await, 1);
    })
    .unwrap();
}
