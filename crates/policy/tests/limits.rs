//! Rate limit of an upstream after a sequence of responses.

use pumicecleat_policy::{LimitSource, RateLimits};
use pumicecleat_types::Millis;

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
