//! Expected times of responses.

use pumicecleat_policy::ResponseTimes;
use pumicecleat_types::Millis;

const PART: f64 = 0.95;

struct Case {
    name: &'static str,
    /// Responses by route, service, time and number.
    responses: &'static [(&'static str, &'static str, u64, usize)],
    /// Time that 19 in 20 responses of route `r` and service `s` took at most.
    expected: Option<u64>,
}

const CASES: [Case; 8] = [
    Case {
        name: "none yet",
        responses: &[],
        expected: None,
    },
    Case {
        name: "of another route and service",
        responses: &[("q", "t", 30, 64)],
        expected: None,
    },
    Case {
        name: "a single one",
        responses: &[("r", "s", 30, 1)],
        expected: Some(30),
    },
    Case {
        name: "few of the route: its service counts",
        responses: &[("q", "s", 900, 8), ("r", "s", 30, 7)],
        expected: Some(900),
    },
    Case {
        name: "enough of the route",
        responses: &[("q", "s", 900, 8), ("r", "s", 30, 8)],
        expected: Some(30),
    },
    Case {
        name: "the slowest of a few",
        responses: &[("r", "s", 900, 1), ("r", "s", 30, 18)],
        expected: Some(900),
    },
    Case {
        name: "one in twenty is slower",
        responses: &[("r", "s", 900, 3), ("r", "s", 30, 61)],
        expected: Some(30),
    },
    Case {
        name: "old ones do not count",
        responses: &[("r", "s", 900, 64), ("r", "s", 30, 64)],
        expected: Some(30),
    },
];

#[test]
fn recent_responses_tell_the_expected_time() {
    for case in CASES {
        let mut times = ResponseTimes::default();
        for (route, service, took, count) in case.responses {
            for _ in 0..*count {
                times.record(route, service, Millis(*took));
            }
        }
        let expected = times.quantile("r", "s", PART);
        assert_eq!(expected, case.expected.map(Millis), "{}", case.name);
    }
}

#[test]
fn half_of_the_responses_are_no_slower_than_the_median() {
    let mut times = ResponseTimes::default();
    for took in [900, 30, 500, 40, 800] {
        times.record("r", "s", Millis(took));
    }
    assert_eq!(times.quantile("r", "s", 0.5), Some(Millis(500)));
}

#[test]
fn names_without_end_take_no_memory_without_end() {
    let mut times = ResponseTimes::default();
    for n in 0..10_000 {
        times.record(&format!("r{n}"), &format!("s{n}"), Millis(30));
    }
    assert_eq!(times.quantile("r0", "s0", PART), None);
    assert_eq!(times.quantile("r9999", "s9999", PART), Some(Millis(30)));
}

#[test]
fn a_request_without_a_response_is_known_without_a_time() {
    let mut times = ResponseTimes::default();
    assert!(!times.has_requests("s"));
    times.record_request("s");
    assert!(times.has_requests("s"));
    assert_eq!(times.quantile("r", "s", PART), None);
}
