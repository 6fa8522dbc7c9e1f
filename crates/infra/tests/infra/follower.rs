//! Tests of the follower with log failures.

use std::rc::Rc;
use std::time::Duration;

use crate::common::{FakeLog, Step, with_client};
use proptest::prelude::*;
use pumicecleat_infra::{BackoffOptions, FollowError, FollowEvent, FollowOptions, Follower};
use pumicecleat_net::Timer;

const MS: Duration = Duration::from_millis(1);

fn follower(log: &Rc<FakeLog>, timer: &Timer, from: u64) -> Follower {
    follower_with_wait(log, timer, from, MS)
}

fn follower_with_wait(log: &Rc<FakeLog>, timer: &Timer, from: u64, wait: Duration) -> Follower {
    let options = FollowOptions {
        batch: 3,
        wait,
        answer_timeout: None,
        pace: Duration::ZERO,
        report_idle: false,
        backoff: BackoffOptions {
            first: MS,
            max: 4 * MS,
            seed: 7,
        },
    };
    Follower::new_ext(log.clone(), timer, "config", from, options)
}

fn log_of(count: u8, timer: &Timer, steps: &[Step]) -> Rc<FakeLog> {
    let log = FakeLog::new(timer, steps);
    for n in 0..count {
        log.push(vec![n]);
    }
    log
}

fn offsets(event: &FollowEvent) -> Vec<u64> {
    match event {
        FollowEvent::Records(records) => records.iter().map(|r| r.offset).collect(),
        _ => panic!("{event:?}"),
    }
}

#[test]
fn inconsistent_reads_are_reported_and_retried() {
    struct Case {
        step: Step,
        error: FollowError,
    }
    let stream = || "config".to_owned();
    let gap = |found| FollowError::Gap {
        stream: stream(),
        expected: 1,
        found,
    };
    let shrunk = FollowError::Shrunk {
        stream: stream(),
        expected: 1,
        next: 0,
    };
    #[rustfmt::skip]
    let cases = [
        Case { step: Step::Gap, error: gap(2) },
        Case { step: Step::Repeat, error: gap(0) },
        Case { step: Step::Shrunk, error: shrunk },
    ];
    for case in cases {
        with_client(|client| async move {
            let log = log_of(4, client.timer(), &[case.step]);
            let mut follower = follower(&log, client.timer(), 1);
            assert_eq!(follower.next().await, Err(case.error));
            let event = follower.next().await.unwrap();
            assert_eq!(offsets(&event), [1, 2, 3]);
            let event = follower.next().await.unwrap();
            assert_eq!(event, FollowEvent::CaughtUp { next: 4 });
        });
    }
}

#[test]
fn an_outage_is_reported_once() {
    with_client(|client| async move {
        let steps = [
            Step::Normal,
            Step::Normal,
            Step::Down,
            Step::LostAfter,
            Step::Pushback,
        ];
        let log = log_of(1, client.timer(), &steps);
        let mut follower = follower(&log, client.timer(), 0);
        assert_eq!(offsets(&follower.next().await.unwrap()), [0]);
        let caught = FollowEvent::CaughtUp { next: 1 };
        assert_eq!(follower.next().await.unwrap(), caught);
        let outage = follower.next().await.unwrap();
        assert!(matches!(outage, FollowEvent::Outage { .. }), "{outage:?}");
        assert_eq!(follower.next().await.unwrap(), caught);
        assert!(log.steps.borrow().is_empty());
        assert!(
            client
                .timer()
                .within(20 * MS, follower.next())
                .await
                .is_err()
        );
    });
}

/// Guards against an outage that never ends for a caller whose timeout is shorter than the wait of the
/// log: the first read after an outage must not wait for a record.
#[test]
fn the_end_of_an_outage_is_reported_without_a_record() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = log_of(1, timer, &[Step::Normal, Step::Down]);
        let mut follower = follower_with_wait(&log, timer, 0, Duration::from_mins(1));
        assert_eq!(offsets(&follower.next().await.unwrap()), [0]);
        let outage = follower.next().await.unwrap();
        assert!(matches!(outage, FollowEvent::Outage { .. }), "{outage:?}");
        let end = timer.within(Duration::from_secs(10), follower.next()).await;
        let caught = FollowEvent::CaughtUp { next: 1 };
        assert_eq!(end.expect("CaughtUp before the timeout").unwrap(), caught);
    });
}

#[test]
fn trimming_requires_a_seek() {
    with_client(|client| async move {
        let log = log_of(5, client.timer(), &[]);
        log.first.set(3);
        let mut follower = follower(&log, client.timer(), 1);
        let trimmed = FollowEvent::Trimmed { first: 3, next: 5 };
        assert_eq!(follower.next().await.unwrap(), trimmed);
        assert_eq!(follower.next().await.unwrap(), trimmed);
        follower.seek(3);
        assert_eq!(offsets(&follower.next().await.unwrap()), [3, 4]);
        assert_eq!(follower.offset(), 5);
    });
}

fn any_step() -> impl Strategy<Value = Step> {
    prop::sample::select(vec![
        Step::Normal,
        Step::Down,
        Step::Pushback,
        Step::LostAfter,
        Step::Empty,
        Step::Gap,
        Step::Repeat,
        Step::Shrunk,
    ])
}

/// Offsets returned until the follower has caught up, with calls cancelled after `timeout`.
async fn follow(client: pumicecleat_net::Client, steps: Vec<Step>, timeout: Duration) -> Vec<u64> {
    let timer = client.timer();
    let log = log_of(10, timer, &steps);
    log.delay.set(MS);
    let mut follower = follower(&log, timer, 0);
    let mut offsets_read = Vec::new();
    while offsets_read.len() < 10 {
        match timer.within(timeout, follower.next()).await {
            Ok(Ok(event @ FollowEvent::Records(_))) => offsets_read.extend(offsets(&event)),
            Ok(_) => {}
            // Cancelled during a read: remove the delay so that a later call can complete.
            Err(_) => log.delay.set(Duration::ZERO),
        }
    }
    offsets_read
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn no_offset_is_skipped_or_repeated(
        steps in prop::collection::vec(any_step(), 0..12),
        timeout in 1..20_u32,
    ) {
        let offsets_read = with_client(|client| follow(client, steps, timeout * MS));
        prop_assert_eq!(offsets_read, (0..10).collect::<Vec<u64>>());
    }
}

/// Guards against an extra read for each change: a caller that skips the `CaughtUp` event has the next
/// read wait for a record immediately.
#[test]
fn skipping_caught_up_waits_immediately_after_the_last_record() {
    with_client(|client| async move {
        let timer = client.timer();
        for (skips, reported) in [(false, true), (true, false)] {
            let log = log_of(1, timer, &[]);
            let mut follower = follower_with_wait(&log, timer, 0, Duration::from_mins(1));
            assert_eq!(offsets(&follower.next().await.unwrap()), [0]);
            if skips {
                follower.skip_caught_up();
            }
            let next = timer.within(20 * MS, follower.next()).await;
            assert_eq!(next.is_ok(), reported, "skips: {skips}");
            // `read_now` reads without waiting for a record.
            follower.read_now();
            let next = timer.within(20 * MS, follower.next()).await;
            assert_eq!(next.unwrap().unwrap(), FollowEvent::CaughtUp { next: 1 });
        }
    });
}

/// Guards against a follower that is blocked by an unresponsive connection for the full client timeout, and
/// against a retry that is too short for a slow log.
#[test]
fn an_unanswered_read_is_retried_without_the_answer_timeout() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = log_of(2, timer, &[]);
        log.delay.set(40 * MS);
        let options = FollowOptions {
            answer_timeout: Some(10 * MS),
            ..FollowOptions::default()
        };
        let mut follower = Follower::new_ext(log.clone(), timer, "config", 0, options);
        let event = follower.next().await.unwrap();
        assert_eq!(event, FollowEvent::Unanswered);
        let event = follower.next().await.unwrap();
        assert_eq!(offsets(&event), [0, 1]);
        let event = follower.next().await.unwrap();
        assert_eq!(event, FollowEvent::Unanswered);
        let event = follower.next().await.unwrap();
        assert_eq!(event, FollowEvent::CaughtUp { next: 2 });
    });
}

/// Guards against a follower that does not report the end of the log after an empty response.
#[test]
fn an_empty_response_to_an_immediate_read_is_the_end() {
    with_client(|client| async move {
        let log = log_of(0, client.timer(), &[]);
        let mut follower = follower(&log, client.timer(), 0);
        follower.read_now();
        assert!(!follower.is_at_end());
        let event = follower.next().await.unwrap();
        assert_eq!(event, FollowEvent::CaughtUp { next: 0 });
        assert!(follower.is_at_end());
    });
}
