//! Order in which a request asks engines for a turn, where some have a rate limit.

use std::collections::BTreeSet;

use pumicecleat_policy::TurnSearch;

struct Case {
    name: &'static str,
    engines: &'static [&'static str],
    /// Engines whose rate limit leaves no slot in time; the others have no turn at once, but one after a wait.
    limited: &'static [&'static str],
    is_served: bool,
    max_asks: usize,
}

const CASES: [Case; 4] = [
    Case {
        name: "the engine asked first for a wait has no slot",
        engines: &["e1", "e2"],
        limited: &["e1"],
        is_served: true,
        max_asks: 4,
    },
    Case {
        name: "several engines have no slot",
        engines: &["e1", "e2", "e3", "e4"],
        limited: &["e1", "e2", "e3"],
        is_served: true,
        max_asks: 8,
    },
    Case {
        name: "no engine has a slot",
        engines: &["e1", "e2"],
        limited: &["e1", "e2"],
        is_served: false,
        max_asks: 4,
    },
    Case {
        name: "many engines have no slot",
        engines: &[
            "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "f1", "f2",
        ],
        limited: &[
            "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "f1", "f2",
        ],
        is_served: false,
        max_asks: 13,
    },
];

/// Guards against refusing a request for the rate limit of the engine at which it was to wait, while another would
/// serve it after a wait, and against asking without end.
#[test]
fn a_request_waits_at_an_engine_whose_limit_leaves_room() {
    for case in &CASES {
        let mut search = TurnSearch::default();
        let mut asked = Vec::new();
        let is_served = loop {
            assert!(asked.len() <= case.max_asks, "{}: {asked:?}", case.name);
            let candidate = case.engines.iter().find(|e| search.is_candidate(e));
            let Some(engine) = candidate else {
                if search.switch_to_waiting() {
                    continue;
                }
                break false;
            };
            let Some(waits) = search.count_ask() else {
                break false;
            };
            asked.push((*engine, waits));
            match (case.limited.contains(engine), waits) {
                (true, _) => search.record_limited(engine),
                (false, true) => break true,
                (false, false) => search.record_refusal(engine),
            }
        };
        assert_eq!(is_served, case.is_served, "{}: {asked:?}", case.name);
        let distinct: BTreeSet<_> = asked.iter().collect();
        assert_eq!(distinct.len(), asked.len(), "{}: {asked:?}", case.name);
    }
}

/// Guards against an engine that stays left out for its rate limit once the search starts anew.
#[test]
fn a_search_that_restarts_asks_limited_engines_again() {
    let mut search = TurnSearch::default();
    search.record_limited("e1");
    search.switch_to_waiting();
    assert_eq!(search.count_ask(), Some(true));
    search.record_limited("e1");
    assert!(!search.is_candidate("e1"));
    search.restart();
    assert!(search.is_candidate("e1"));
}
