//! The follower under faults of the log.

use std::rc::Rc;
use std::time::Duration;

use crate::common::{FakeLog, Move, with_client};
use proptest::prelude::*;
use pumicecleat_infra::{BackoffOptions, FollowError, FollowEvent, FollowOptions, Follower};
use pumicecleat_net::Timer;

const MS: Duration = Duration::from_millis(1);

fn follower(log: &Rc<FakeLog>, timer: &Timer, from: u64) -> Follower {
    follower_that_waits(log, timer, from, MS)
}

fn follower_that_waits(log: &Rc<FakeLog>, timer: &Timer, from: u64, wait: Duration) -> Follower {
    let options = FollowOptions {
        batch: 3,
        wait,
        answer_timeout: None,
        pace: Duration::ZERO,
        backoff: BackoffOptions {
            first: MS,
            max: 4 * MS,
            seed: 7,
        },
    };
    Follower::new_ext(log.clone(), timer, "config", from, options)
}

fn log_of(count: u8, timer: &Timer, moves: &[Move]) -> Rc<FakeLog> {
    let log = FakeLog::new(timer, moves);
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
fn contradictions_are_told_and_read_again() {
    struct Case {
        step: Move,
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
        Case { step: Move::Gap, error: gap(2) },
        Case { step: Move::Repeat, error: gap(0) },
        Case { step: Move::Shrunk, error: shrunk },
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
fn an_outage_is_told_once() {
    with_client(|client| async move {
        let moves = [
            Move::Sound,
            Move::Sound,
            Move::Down,
            Move::LostAfter,
            Move::Pushback,
        ];
        let log = log_of(1, client.timer(), &moves);
        let mut follower = follower(&log, client.timer(), 0);
        assert_eq!(offsets(&follower.next().await.unwrap()), [0]);
        let caught = FollowEvent::CaughtUp { next: 1 };
        assert_eq!(follower.next().await.unwrap(), caught);
        let outage = follower.next().await.unwrap();
        assert!(matches!(outage, FollowEvent::Outage { .. }), "{outage:?}");
        assert_eq!(follower.next().await.unwrap(), caught);
        assert!(log.moves.borrow().is_empty());
        assert!(
            client
                .timer()
                .within(20 * MS, follower.next())
                .await
                .is_err()
        );
    });
}

/// Its caller may have less patience than the log: the end of an outage shows all the same.
#[test]
fn the_end_of_an_outage_is_told_though_no_record_comes() {
    with_client(|client| async move {
        let timer = client.timer();
        let log = log_of(1, timer, &[Move::Sound, Move::Down]);
        let mut follower = follower_that_waits(&log, timer, 0, Duration::from_mins(1));
        assert_eq!(offsets(&follower.next().await.unwrap()), [0]);
        let outage = follower.next().await.unwrap();
        assert!(matches!(outage, FollowEvent::Outage { .. }), "{outage:?}");
        let end = timer.within(Duration::from_secs(10), follower.next()).await;
        let caught = FollowEvent::CaughtUp { next: 1 };
        assert_eq!(end.expect("told in time").unwrap(), caught);
    });
}

#[test]
fn trimming_waits_for_a_seek() {
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

fn any_move() -> impl Strategy<Value = Move> {
    prop::sample::select(vec![
        Move::Sound,
        Move::Down,
        Move::Pushback,
        Move::LostAfter,
        Move::Blank,
        Move::Gap,
        Move::Repeat,
        Move::Shrunk,
    ])
}

/// Offsets given until the follower caught up, with calls dropped after `patience`.
async fn follow(client: pumicecleat_net::Client, moves: Vec<Move>, patience: Duration) -> Vec<u64> {
    let timer = client.timer();
    let log = log_of(10, timer, &moves);
    log.delay.set(MS);
    let mut follower = follower(&log, timer, 0);
    let mut given = Vec::new();
    while given.len() < 10 {
        match timer.within(patience, follower.next()).await {
            Ok(Ok(event @ FollowEvent::Records(_))) => given.extend(offsets(&event)),
            Ok(_) => {}
            // Dropped in the middle: the next call may take longer.
            Err(_) => log.delay.set(Duration::ZERO),
        }
    }
    given
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn no_offset_is_skipped_or_repeated(
        moves in prop::collection::vec(any_move(), 0..12),
        patience in 1..20_u32,
    ) {
        let given = with_client(|client| follow(client, moves, patience * MS));
        prop_assert_eq!(given, (0..10).collect::<Vec<u64>>());
    }
}

/// A caller that needs no word of the end saves a read for each change.
#[test]
fn a_settled_follower_waits_at_once_after_the_last_record() {
    with_client(|client| async move {
        let timer = client.timer();
        for (settles, told) in [(false, true), (true, false)] {
            let log = log_of(1, timer, &[]);
            let mut follower = follower_that_waits(&log, timer, 0, Duration::from_mins(1));
            assert_eq!(offsets(&follower.next().await.unwrap()), [0]);
            if settles {
                follower.skip_caught_up();
            }
            let next = timer.within(20 * MS, follower.next()).await;
            assert_eq!(next.is_ok(), told, "settles: {settles}");
            // One that hurries asks again without a wait.
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

/// Guards against a follower that does not report the end of the log after an empty answer.
#[test]
fn an_empty_answer_to_a_hurried_read_is_the_end() {
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
