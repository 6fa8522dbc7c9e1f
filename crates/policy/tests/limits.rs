//! Rate limit of an upstream after a sequence of responses.

use pumicecleat_policy::{Admission, LimitSource, RateLimits};
use pumicecleat_types::{LimitNews, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Send time of the request, arrival of the response, start of the upstream, and rate limit.
type Response = (u64, u64, Option<u64>, Option<u64>);

struct Case {
    name: &'static str,
    responses: &'static [Response],
    rate: Option<u64>,
}

const CASES: [Case; 10] = [
    Case {
        name: "no limit",
        responses: &[(0, 10, None, None)],
        rate: None,
    },
    Case {
        name: "first limit",
        responses: &[(0, 10, None, Some(1_100))],
        rate: Some(1_100),
    },
    Case {
        name: "a lower limit applies even if its request was sent earlier",
        responses: &[(5, 10, None, Some(1_100)), (0, 11, None, Some(500))],
        rate: Some(500),
    },
    Case {
        name: "a higher limit applies if its request was sent later",
        responses: &[(0, 10, None, Some(1_100)), (12, 20, None, Some(2_000))],
        rate: Some(2_000),
    },
    Case {
        name: "a higher limit is ignored if its request was sent earlier",
        responses: &[(5, 10, None, Some(1_100)), (0, 11, None, Some(2_000))],
        rate: Some(1_100),
    },
    Case {
        name: "a response without a limit clears it if its request was sent later",
        responses: &[(0, 10, None, Some(1_100)), (12, 20, None, None)],
        rate: None,
    },
    Case {
        name: "a response without a limit is ignored if its request was sent earlier",
        responses: &[(5, 10, None, Some(1_100)), (0, 11, None, None)],
        rate: Some(1_100),
    },
    Case {
        name: "a limit of 0 applies",
        responses: &[(0, 10, None, Some(0))],
        rate: Some(0),
    },
    Case {
        name: "a restart clears the limit",
        responses: &[(0, 10, Some(1), Some(1_100)), (5, 20, Some(2), None)],
        rate: None,
    },
    Case {
        name: "a late response from before a restart is ignored",
        responses: &[(0, 10, Some(2), Some(1_100)), (0, 20, Some(1), Some(500))],
        rate: Some(1_100),
    },
];

/// Guards against raising or clearing a limit on a response that arrives out of order.
#[test]
fn only_responses_to_later_requests_raise_or_clear_a_limit() {
    for case in &CASES {
        let mut limits = RateLimits::default();
        let mut last_born = None;
        for (sent_at, received_at, born, rate) in case.responses {
            let source = LimitSource {
                instance: "i-1",
                born: *born,
            };
            limits.update(source, *rate, Millis(*sent_at), Millis(*received_at));
            last_born = *born;
        }
        assert_eq!(limits.rate("i-1", last_born), case.rate, "{}", case.name);
    }
}

/// Guards against reporting every malformed limit of an upstream.
#[test]
fn a_malformed_limit_is_reported_once() {
    let mut limits = RateLimits::default();
    let reported = [limits.note_unreadable("i-1"), limits.note_unreadable("i-1")];
    assert_eq!(reported, [true, false]);
}

/// Processes that share a limit; each sends a request whenever it has a free slot.
struct SharedLimit {
    processes: u32,
    /// Requests per 1,000 seconds.
    rate: u64,
}

const SHARED_LIMITS: [SharedLimit; 8] = [
    SharedLimit {
        processes: 4,
        rate: 1_100,
    },
    SharedLimit {
        processes: 4,
        rate: 1_300,
    },
    SharedLimit {
        processes: 3,
        rate: 0,
    },
    SharedLimit {
        processes: 60,
        rate: 200,
    },
    SharedLimit {
        processes: 68,
        rate: 5_000,
    },
    SharedLimit {
        processes: 300,
        rate: 20_000,
    },
    SharedLimit {
        processes: 2,
        rate: 50_000,
    },
    SharedLimit {
        processes: 1,
        rate: 1_100,
    },
];

/// Duration of a simulation, ms.
const DURATION_MS: u64 = 120_000;

/// Length of the windows in which requests are counted, ms.
const WINDOW_MS: u64 = 4_000;

impl SharedLimit {
    /// Returns when requests were sent, in order.
    fn simulate(&self, rng: &mut ChaCha8Rng) -> Vec<u64> {
        let mut sent = Vec::new();
        let source = LimitSource {
            instance: "i-1",
            born: None,
        };
        for _ in 0..self.processes {
            let mut limits = RateLimits::new_ext(rng.random());
            limits.update(source, Some(self.rate), Millis(0), Millis(0));
            for now in 0..DURATION_MS {
                let admission = limits.reserve(source, self.processes, Millis(0), Millis(now));
                if matches!(admission, Admission::Reserved(_)) {
                    sent.push(now);
                }
            }
        }
        sent.sort_unstable();
        sent
    }

    /// Maximum number of requests in a window: 1.5 times the limit, plus 5.
    fn max_in_window(&self) -> u64 {
        self.rate * WINDOW_MS * 3 / 2_000_000 + 5
    }
}

/// Guards against processes that together exceed a limit, by rounding up small shares to whole requests or by
/// bursts when the limit starts.
#[test]
fn processes_that_share_a_limit_keep_it_together() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for shared in &SHARED_LIMITS {
        let sent = shared.simulate(&mut rng);
        let counts = sent.iter().map(|from| {
            let within = sent
                .iter()
                .filter(|at| (*from..from + WINDOW_MS).contains(at));
            within.count() as u64
        });
        let max = counts.max().unwrap_or_default();
        let name = (shared.processes, shared.rate);
        assert!(max <= shared.max_in_window(), "{name:?}: {max}");
        let min = shared.rate.max(250) * DURATION_MS / 1_000_000 / 2;
        assert!(sent.len() as u64 >= min, "{name:?}: {}", sent.len());
    }
}

/// Guards against losing the slot of a request that is not sent.
#[test]
fn a_slot_that_is_given_back_is_free_again() {
    let source = LimitSource {
        instance: "i-1",
        born: None,
    };
    let mut limits = RateLimits::new_ext(0.0);
    limits.update(source, Some(1_000), Millis(0), Millis(0));
    let mut reserve = |max_wait| limits.reserve(source, 1, Millis(max_wait), Millis(0));
    let Admission::Reserved(first) = reserve(0) else {
        panic!("the first slot must be free immediately");
    };
    assert_eq!(reserve(500), Admission::Refused(Millis(1_000)));
    let Admission::Reserved(second) = reserve(1_000) else {
        panic!("the second slot must be free within 1 s");
    };
    assert_eq!((first.wait, second.wait), (Millis(0), Millis(1_000)));
    limits.give_back("i-1", second);
    assert_eq!(limits.wait(source, 1, Millis(0)), Millis(1_000));
}

struct NewsCase {
    name: &'static str,
    /// Time of arrival, rate, and age of each item.
    news: &'static [(u64, Option<u64>, u64)],
    rate: Option<u64>,
}

/// Guards against older news of a limit replacing newer news.
#[test]
fn limit_news_is_ordered_by_the_time_of_its_response() {
    const CASES: [NewsCase; 4] = [
        NewsCase {
            name: "first news applies",
            news: &[(10, Some(1_100), 5)],
            rate: Some(1_100),
        },
        NewsCase {
            name: "older news that arrives later is ignored",
            news: &[(10, Some(1_100), 5), (20, Some(500), 18)],
            rate: Some(1_100),
        },
        NewsCase {
            name: "newer news clears the limit",
            news: &[(10, Some(1_100), 5), (20, None, 1)],
            rate: None,
        },
        NewsCase {
            name: "news from before the end of the limit is ignored",
            news: &[(10, Some(1_100), 5), (20, None, 1), (21, Some(1_100), 9)],
            rate: None,
        },
    ];
    for case in &CASES {
        let mut limits = RateLimits::new_ext(1.0);
        for (now, rate, age_ms) in case.news {
            let news = LimitNews {
                rate: *rate,
                age_ms: *age_ms,
            };
            limits.apply_news("i-1", news, Millis(*now));
        }
        assert_eq!(limits.rate("i-1", None), case.rate, "{}", case.name);
    }
}
