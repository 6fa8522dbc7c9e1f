//! The timer service under many subscriptions.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{join_all, select};
use pumicecleat_net::{Elapsed, Stall, Tally, Timer, run};
use pumicecleat_types::Millis;

const LIMIT: Duration = Duration::from_secs(20);

/// Time for every task to subscribe, milliseconds.
const BEFORE: u64 = 200;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Spans in an order that is not theirs.
fn mixed(count: u64) -> impl Iterator<Item = u64> {
    (0..count).map(move |n| n * 7919 % count)
}

#[test]
fn subscriptions_end_in_order_and_never_early() {
    run(async {
        let timer = Timer::start();
        let ended = Rc::new(RefCell::new(Vec::new()));
        let tally = Tally::new();
        let start = timer.now();
        for span in mixed(200) {
            let (timer, ended, guard) = (timer.clone(), Rc::clone(&ended), tally.enter());
            monoio::spawn(async move {
                timer.sleep_until(start + Millis(BEFORE + span)).await;
                assert!(timer.now() >= start + Millis(BEFORE + span), "ended early");
                ended.borrow_mut().push(span);
                drop(guard);
            });
        }
        timer.within(LIMIT, tally.zero()).await.unwrap();
        assert!(ended.borrow().is_sorted(), "{:?}", ended.borrow());
        assert_eq!(ended.borrow().len(), 200);
    })
    .unwrap();
}

#[test]
fn none_is_lost_among_many_that_are_cancelled() {
    run(async {
        let timer = Timer::start();
        let rounds = mixed(20_000).map(|span| {
            let timer = timer.clone();
            async move {
                let short = Box::pin(timer.sleep(ms(span % 50)));
                let long = Box::pin(timer.sleep(ms(60_000 + span)));
                select(short, long).await;
                timer
                    .within(ms(span % 3), std::future::pending::<()>())
                    .await
            }
        });
        let ended = timer.within(LIMIT, join_all(rounds)).await.unwrap();
        assert_eq!(ended.len(), 20_000);
        assert!(ended.iter().all(|e| *e == Err(Elapsed)));
    })
    .unwrap();
}

#[test]
fn an_earlier_subscription_wakes_a_sleeping_driver() {
    run(async {
        let timer = Timer::start();
        let _far = timer.sleep(ms(3_600_000));
        for span in [50, 10, 1, 0] {
            // Lets the driver fall asleep on the far one first.
            monoio::time::sleep(ms(5)).await;
            let from = Instant::now();
            timer.sleep(ms(span)).await;
            assert!(from.elapsed() >= ms(span) && from.elapsed() < LIMIT);
        }
    })
    .unwrap();
}

#[test]
fn spans_beyond_the_clock_never_end_and_never_panic() {
    run(async {
        let timer = Timer::start();
        let never = [
            timer.sleep(Duration::MAX),
            timer.sleep_until(Millis(u64::MAX)),
            timer.sleep(Duration::from_hours(24 * 365 * 99)),
        ];
        for sleep in never {
            assert_eq!(timer.within(ms(10), sleep).await, Err(Elapsed));
        }
        assert_eq!(timer.within(Duration::MAX, async { 7 }).await, Ok(7));
        timer.sleep_until(Millis(0)).await;
    })
    .unwrap();
}

#[test]
fn a_stall_is_told_by_each_part_alone_and_to_whoever_waits() {
    run(async {
        let timer = Timer::start();
        let span = ms(30);
        let mut stall = Stall::new(&timer, span);
        // Pending once, so that a subscription is kept whose end comes within the next part.
        for pause in [0, 20, 40] {
            let slept = stall.within(timer.sleep(ms(1))).await;
            // A busy machine may take longer than the span for it.
            assert!(matches!(slept, Ok(()) | Err(Elapsed)));
            timer.sleep(ms(pause)).await;
            let from = Instant::now();
            let silent = stall.within(std::future::pending::<()>());
            assert_eq!(timer.within(LIMIT, silent).await, Ok(Err(Elapsed)));
            assert!(from.elapsed() >= span, "after {pause} ms: told early");
        }
        let mut stall = Stall::new(&timer, ms(200));
        let _ = stall.within(timer.sleep(ms(1))).await;
        // In another task the subscription kept would wake nobody.
        let other = monoio::spawn(async move { stall.within(std::future::pending::<()>()).await });
        assert_eq!(timer.within(LIMIT, other).await, Ok(Err(Elapsed)));
    })
    .unwrap();
}
