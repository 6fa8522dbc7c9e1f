//! Compares the appender with one append for each record.

use std::rc::Rc;
use std::time::Duration;

use crate::common::{FakeLog, Step, with_client};
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

/// Outcome that a submitter received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Appended(u64),
    Refused,
    Lost,
}

fn start(log: &Rc<FakeLog>, timer: &Timer) -> Appender {
    Appender::start(log.clone(), timer, "intents", OPTIONS)
}

async fn submit(appender: &Appender, record: u8) -> Outcome {
    match appender.append(vec![record]).await {
        Ok(record) => Outcome::Appended(record.offset),
        Err(e) if e.is_refusal() => Outcome::Refused,
        Err(_) => Outcome::Lost,
    }
}

async fn submit_single(log: &FakeLog, record: u8) -> Outcome {
    match log.append("intents", vec![vec![record]]).await {
        Ok(appended) => Outcome::Appended(appended.first),
        Err(AppendError::Refused { .. }) => Outcome::Refused,
        Err(AppendError::Lost { .. }) => Outcome::Lost,
    }
}

async fn run_both(
    client: Client,
    count: u8,
    steps: Vec<Step>,
) -> [(Vec<Outcome>, Vec<Vec<u8>>); 2] {
    let timer = client.timer();
    let grouped = FakeLog::new(timer, &steps);
    grouped.delay.set(MS);
    let appender = start(&grouped, timer);
    let tasks = (0..count).map(|n| submit(&appender, n));
    let outcomes = join_all(tasks).await;
    let single = FakeLog::new(timer, &steps);
    let mut single_outcomes = Vec::new();
    for n in 0..count {
        single_outcomes.push(submit_single(&single, n).await);
    }
    [(outcomes, grouped.data()), (single_outcomes, single.data())]
}

/// Whether the contents of the log match the outcomes that submitters received.
fn matches_log(outcomes: &[Outcome], data: &[Vec<u8>]) -> bool {
    (0_u8..).zip(outcomes).all(|(n, outcome)| {
        let offsets = data.iter().enumerate().filter(|(_, d)| **d == [n]);
        let offsets: Vec<u64> = offsets.map(|(at, _)| at as u64).collect();
        match outcome {
            Outcome::Appended(offset) => offsets == [*offset],
            Outcome::Refused => offsets.is_empty(),
            Outcome::Lost => offsets.len() <= 1,
        }
    })
}

fn any_step() -> impl Strategy<Value = Step> {
    prop::sample::select(vec![
        Step::Normal,
        Step::Down,
        Step::Pushback,
        Step::LostAfter,
        Step::LostBefore,
    ])
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn outcomes_match_the_log(
        count in 0..8_u8,
        steps in prop::collection::vec(any_step(), 0..8),
    ) {
        let sound = steps.iter().all(|m| *m == Step::Normal);
        let [grouped, single] = with_client(|client| run_both(client, count, steps));
        prop_assert!(matches_log(&grouped.0, &grouped.1), "{:?}", grouped);
        prop_assert!(matches_log(&single.0, &single.1), "{:?}", single);
        if sound {
            prop_assert_eq!(grouped, single);
        }
    }
}

#[test]
fn concurrent_records_share_an_append() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        log.delay.set(5 * MS);
        let appender = start(&log, client.timer());
        let outcomes = join_all((0..8).map(|n| submit(&appender, n))).await;
        assert_eq!(outcomes, (0..8).map(Outcome::Appended).collect::<Vec<_>>());
        assert_eq!(log.appends.get(), 3);
        assert_eq!(appender.waiting(), 0);
    });
}

#[test]
fn an_oversized_record_is_appended_alone() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        let appender = start(&log, client.timer());
        let records = [vec![0; 60], vec![1; 500], vec![2; 60], vec![3; 40]];
        let results = join_all(records.map(|r| appender.append(r))).await;
        assert!(results.iter().all(Result::is_ok));
        assert_eq!(log.appends.get(), 3);
    });
}

#[test]
fn a_full_queue_refuses() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        log.delay.set(5 * MS);
        let appender = start(&log, client.timer());
        let outcomes = join_all((0..9).map(|n| appender.append(vec![n]))).await;
        let last = outcomes[8].as_ref().unwrap_err();
        assert!(matches!(last, SubmitError::Full { limit: 8 }));
        assert!(outcomes[..8].iter().all(Result::is_ok));
    });
}

#[test]
fn cancelling_withdraws_records_that_were_not_sent() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = FakeLog::new(timer, &[Step::Pushback]);
        log.delay.set(100 * MS);
        let appender = start(&log, timer);
        // In flight when its submitter cancels, then refused: it must not be sent again.
        let first = timer.within(5 * MS, submit(&appender, 0)).await;
        assert!(first.is_err());
        // Queued behind the first: withdrawn before it is sent.
        let second = timer.within(MS, submit(&appender, 1)).await;
        assert!(second.is_err());
        assert_eq!(appender.waiting(), 0);
        assert_eq!(submit(&appender, 2).await, Outcome::Appended(0));
        // In flight and accepted: it is appended although its submitter has cancelled.
        let third = timer.within(5 * MS, submit(&appender, 3)).await;
        assert!(third.is_err());
        assert_eq!(submit(&appender, 4).await, Outcome::Appended(2));
        assert_eq!(log.data(), [vec![2], vec![3], vec![4]]);
    });
}

#[test]
fn pushback_lengthens_the_interval() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = FakeLog::new(timer, &[Step::Pushback, Step::Pushback]);
        let options = AppendOptions {
            max_interval: 100 * MS,
            max_retries: 1,
            ..OPTIONS
        };
        let appender = Appender::start(log.clone(), timer, "intents", options);
        let start = timer.now();
        assert_eq!(submit(&appender, 0).await, Outcome::Refused);
        assert_eq!(submit(&appender, 1).await, Outcome::Appended(0));
        // At least half of 20 ms and half of 40 ms, less one clock tick each.
        assert!(timer.now().since(start).0 >= 28);
        assert_eq!(log.appends.get(), 3);
    });
}

#[test]
fn queued_records_are_appended_after_the_appender_is_dropped() {
    with_client(|client| async move {
        let log = FakeLog::new(client.timer(), &[]);
        log.delay.set(100 * MS);
        let timer = client.timer();
        let appender = start(&log, timer);
        let sent = timer.within(5 * MS, submit(&appender, 0)).await;
        assert!(sent.is_err());
        drop(appender);
        let record_logged = async {
            while log.data().is_empty() {
                timer.sleep(MS).await;
            }
        };
        timer.within(5_000 * MS, record_logged).await.unwrap();
        assert_eq!(log.data(), [vec![0]]);
    });
}

#[test]
fn an_appender_respects_its_minimum_interval() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = FakeLog::new(timer, &[]);
        let appender = start(&log, timer);
        appender.set_interval(30 * MS);
        assert_eq!(submit(&appender, 0).await, Outcome::Appended(0));
        let start = timer.now();
        assert_eq!(submit(&appender, 1).await, Outcome::Appended(1));
        assert_eq!(submit(&appender, 2).await, Outcome::Appended(2));
        // Intervals count from the start of the first append, less one clock tick each.
        assert!(timer.now().since(start).0 >= 28);
    });
}
