//! The appender against one append for each record.

use std::rc::Rc;
use std::time::Duration;

use crate::common::{FakeLog, Move, with_client};
use futures_util::future::join_all;
use proptest::prelude::*;
use pumicecleat_infra::{AppendError, AppendOptions, Appender, Log, SubmitError};
use pumicecleat_net::{Client, Timer};

const MS: Duration = Duration::from_millis(1);

const OPTIONS: AppendOptions = AppendOptions {
    queue: 8,
    records: 3,
    bytes: 100,
    interval: MS,
    max_interval: MS,
    max_retries: 1,
    seed: 7,
};

/// What a submitter was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Stood(u64),
    Refused,
    Lost,
}

fn start(log: &Rc<FakeLog>, timer: &Timer) -> Appender {
    Appender::start(log.clone(), timer, "intents", OPTIONS)
}

async fn submit(appender: &Appender, record: u8) -> Told {
    match appender.append(vec![record]).await {
        Ok(stood) => Told::Stood(stood.offset),
        Err(e) if e.is_refusal() => Told::Refused,
        Err(_) => Told::Lost,
    }
}

async fn submit_alone(log: &FakeLog, record: u8) -> Told {
    match log.append("intents", vec![vec![record]]).await {
        Ok(appended) => Told::Stood(appended.first),
        Err(AppendError::Refused { .. }) => Told::Refused,
        Err(AppendError::Lost { .. }) => Told::Lost,
    }
}

async fn run_both(client: Client, count: u8, moves: Vec<Move>) -> [(Vec<Told>, Vec<Vec<u8>>); 2] {
    let timer = client.timer();
    let grouped = FakeLog::new(timer, &moves);
    grouped.delay.set(MS);
    let appender = start(&grouped, timer);
    let tasks = (0..count).map(|n| submit(&appender, n));
    let told = join_all(tasks).await;
    let naive = FakeLog::new(timer, &moves);
    let mut told_alone = Vec::new();
    for n in 0..count {
        told_alone.push(submit_alone(&naive, n).await);
    }
    [(told, grouped.data()), (told_alone, naive.data())]
}

/// Whether the log holds what submitters were told.
fn is_truthful(told: &[Told], data: &[Vec<u8>]) -> bool {
    (0_u8..).zip(told).all(|(n, told)| {
        let places = data.iter().enumerate().filter(|(_, d)| **d == [n]);
        let places: Vec<u64> = places.map(|(at, _)| at as u64).collect();
        match told {
            Told::Stood(offset) => places == [*offset],
            Told::Refused => places.is_empty(),
            Told::Lost => places.len() <= 1,
        }
    })
}

fn any_move() -> impl Strategy<Value = Move> {
    prop::sample::select(vec![
        Move::Sound,
        Move::Down,
        Move::Pushback,
        Move::LostAfter,
        Move::LostBefore,
    ])
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn submitters_are_told_the_truth(
        count in 0..8_u8,
        moves in prop::collection::vec(any_move(), 0..8),
    ) {
        let sound = moves.iter().all(|m| *m == Move::Sound);
        let [grouped, naive] = with_client(|client| run_both(client, count, moves));
        prop_assert!(is_truthful(&grouped.0, &grouped.1), "{:?}", grouped);
        prop_assert!(is_truthful(&naive.0, &naive.1), "{:?}", naive);
        if sound {
            prop_assert_eq!(grouped, naive);
        }
    }
}

#[test]
fn records_ride_together() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        log.delay.set(5 * MS);
        let appender = start(&log, client.timer());
        let told = join_all((0..8).map(|n| submit(&appender, n))).await;
        assert_eq!(told, (0..8).map(Told::Stood).collect::<Vec<_>>());
        assert_eq!(log.appends.get(), 3);
        assert_eq!(appender.waiting(), 0);
    });
}

#[test]
fn a_long_record_rides_alone() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        let appender = start(&log, client.timer());
        let records = [vec![0; 60], vec![1; 500], vec![2; 60], vec![3; 40]];
        let stood = join_all(records.map(|r| appender.append(r))).await;
        assert!(stood.iter().all(Result::is_ok));
        assert_eq!(log.appends.get(), 3);
    });
}

#[test]
fn a_full_queue_refuses() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        log.delay.set(5 * MS);
        let appender = start(&log, client.timer());
        let told = join_all((0..9).map(|n| appender.append(vec![n]))).await;
        let last = told[8].as_ref().unwrap_err();
        assert!(matches!(last, SubmitError::Full { limit: 8 }));
        assert!(told[..8].iter().all(Result::is_ok));
    });
}

#[test]
fn a_submitter_that_leaves_withdraws_what_has_not_left() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = FakeLog::new(timer, &[Move::Pushback]);
        log.delay.set(100 * MS);
        let appender = start(&log, timer);
        // In flight when its submitter leaves, then refused: it must not go again.
        let first = timer.within(5 * MS, submit(&appender, 0)).await;
        assert!(first.is_err());
        // Queued behind it: withdrawn before it left.
        let second = timer.within(MS, submit(&appender, 1)).await;
        assert!(second.is_err());
        assert_eq!(appender.waiting(), 0);
        assert_eq!(submit(&appender, 2).await, Told::Stood(0));
        // In flight and taken: it stands, though nobody waits.
        let third = timer.within(5 * MS, submit(&appender, 3)).await;
        assert!(third.is_err());
        assert_eq!(submit(&appender, 4).await, Told::Stood(2));
        assert_eq!(log.data(), [vec![2], vec![3], vec![4]]);
    });
}

#[test]
fn pushback_slows_appends_down() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = FakeLog::new(timer, &[Move::Pushback, Move::Pushback]);
        let options = AppendOptions {
            max_interval: 100 * MS,
            max_retries: 1,
            ..OPTIONS
        };
        let appender = Appender::start(log.clone(), timer, "intents", options);
        let start = timer.now();
        assert_eq!(submit(&appender, 0).await, Told::Refused);
        assert_eq!(submit(&appender, 1).await, Told::Stood(0));
        // Half of 20 ms, then half of 40 ms, less a clock tick each.
        assert!(timer.now().since(start).0 >= 28);
        assert_eq!(log.appends.get(), 3);
    });
}

#[test]
fn what_is_queued_outlives_the_appender() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        log.delay.set(100 * MS);
        let timer = client.timer();
        let appender = start(&log, timer);
        let sent = timer.within(5 * MS, submit(&appender, 0)).await;
        assert!(sent.is_err());
        drop(appender);
        let standing = async {
            while log.data().is_empty() {
                timer.sleep(MS).await;
            }
        };
        timer.within(5_000 * MS, standing).await.unwrap();
        assert_eq!(log.data(), [vec![0]]);
    });
}

#[test]
fn an_appender_keeps_to_its_share() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = FakeLog::new(timer, &[]);
        let appender = start(&log, timer);
        appender.set_interval(30 * MS);
        assert_eq!(submit(&appender, 0).await, Told::Stood(0));
        let start = timer.now();
        assert_eq!(submit(&appender, 1).await, Told::Stood(1));
        assert_eq!(submit(&appender, 2).await, Told::Stood(2));
        // From the first append's start on, less a clock tick each.
        assert!(timer.now().since(start).0 >= 28);
    });
}
