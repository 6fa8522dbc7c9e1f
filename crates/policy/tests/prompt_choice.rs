//! Choice among engines and among upstreams without adapters, and the limit on repeated sends.

use pumicecleat_policy::{
    AdapterState, EngineChoice, EngineView, RepeatLimit, RepeatOptions, UpstreamLoad, UpstreamStats,
};
use pumicecleat_types::{EngineTraits, Millis};

/// Learned speed of each engine.
const TRAITS: EngineTraits = EngineTraits {
    tokens_per_s: 16_000,
    store_load_ms: 300,
    cached_load_ms: 60,
    cache_size: 25,
};

fn engine(key: u64, adapter_state: AdapterState, unread_tokens: u64) -> EngineView {
    EngineView {
        key,
        adapter_state,
        available_slots: 2,
        unread_tokens,
        prompt_tokens: 2_400,
        traits: TRAITS,
        ..EngineView::default()
    }
}

struct Case {
    name: &'static str,
    engines: [EngineView; 2],
    best: usize,
}

fn cases_by_adapter_state() -> Vec<Case> {
    use AdapterState::{Absent, Cached, Loaded, Loading};
    vec![
        Case {
            name: "a host that has it cached is preferred to a load from the store",
            engines: [engine(1, Absent, 0), engine(2, Cached, 6_000)],
            best: 1,
        },
        Case {
            name: "a host that has it cached but has too many tokens queued is not chosen",
            engines: [engine(1, Absent, 0), engine(2, Cached, 24_000)],
            best: 0,
        },
        Case {
            name: "an engine that has it loaded is preferred to one that has to load it",
            engines: [engine(1, Absent, 0), engine(2, Loaded, 4_000)],
            best: 1,
        },
        Case {
            name: "an engine that has it loaded but has too many tokens queued is not chosen",
            engines: [engine(1, Absent, 0), engine(2, Loaded, 40_000)],
            best: 0,
        },
        Case {
            name: "of two engines that have it loaded, the one with fewer tokens queued",
            engines: [engine(1, Loaded, 9_000), engine(2, Loaded, 3_000)],
            best: 1,
        },
        Case {
            name: "a load in progress is preferred to a new load",
            engines: [engine(1, Absent, 0), engine(2, Loading, 0)],
            best: 1,
        },
    ]
}

fn cases_by_running() -> Vec<Case> {
    use AdapterState::Loaded;
    vec![Case {
        name: "a prompt of 2,400 tokens goes where it stalls fewer streams",
        engines: [
            EngineView {
                running: 30,
                ..engine(1, Loaded, 0)
            },
            EngineView {
                running: 2,
                ..engine(2, Loaded, 6_000)
            },
        ],
        best: 1,
    }]
}

fn cases_by_state() -> Vec<Case> {
    use AdapterState::{Absent, Loaded};
    vec![
        Case {
            name: "an engine with a lower prefill rate is avoided",
            engines: [
                EngineView {
                    traits: EngineTraits {
                        tokens_per_s: TRAITS.tokens_per_s / 8,
                        ..TRAITS
                    },
                    ..engine(1, Loaded, 1_000)
                },
                engine(2, Loaded, 6_000),
            ],
            best: 1,
        },
        Case {
            name: "an engine that is starting is avoided",
            engines: [
                EngineView {
                    ready_in_ms: 1_200,
                    ..engine(1, Loaded, 0)
                },
                engine(2, Loaded, 9_000),
            ],
            best: 1,
        },
        Case {
            name: "an engine with stale figures is avoided",
            engines: [
                EngineView {
                    stale: true,
                    ..engine(1, Loaded, 0)
                },
                engine(2, Loaded, 3_000),
            ],
            best: 1,
        },
        Case {
            name: "an engine without an available slot is avoided",
            engines: [
                EngineView {
                    available_slots: 0,
                    ..engine(1, Absent, 0)
                },
                engine(2, Absent, 0),
            ],
            best: 1,
        },
    ]
}

#[test]
fn engine_with_earliest_expected_first_event_is_chosen() {
    let cases = [
        cases_by_adapter_state(),
        cases_by_running(),
        cases_by_state(),
    ];
    for case in cases.into_iter().flatten() {
        let choice = EngineChoice::new(7);
        assert_eq!(choice.pick(&case.engines), Some(case.best), "{}", case.name);
    }
}

#[test]
fn home_of_an_absent_adapter_does_not_depend_on_the_order_of_engines() {
    let engines: Vec<EngineView> = (1..=9)
        .map(|key| engine(key, AdapterState::Absent, 0))
        .collect();
    let reversed: Vec<EngineView> = engines.iter().rev().copied().collect();
    for adapter in 0..50 {
        let choice = EngineChoice::new(adapter);
        let chosen = engines[choice.pick(&engines).unwrap()].key;
        let chosen_reversed = reversed[choice.pick(&reversed).unwrap()].key;
        assert_eq!(chosen, chosen_reversed, "adapter {adapter}");
    }
}

#[test]
fn requests_spread_over_free_slots_and_a_failed_upstream_is_avoided_for_a_while() {
    let load = |own_requests| UpstreamLoad {
        own_requests,
        slots: 6,
        ..UpstreamLoad::default()
    };
    let mut healthy = UpstreamStats::default();
    healthy.record_response(Millis(60));
    let now = Millis(1_000);
    assert!(healthy.cost(&load(0), now) < healthy.cost(&load(2), now));
    assert!(healthy.cost(&load(2), now) < healthy.cost(&load(9), now));
    let mut failed = healthy;
    failed.record_failure(now);
    assert!(failed.cost(&load(0), now) > healthy.cost(&load(9), now));
    assert!(!failed.has_recent_failure(Millis(2_100)));
    failed.record_failure(now);
    assert!(failed.has_recent_failure(Millis(2_100)), "twice as long");
    failed.record_response(Millis(60));
    assert!(!failed.has_recent_failure(Millis(1_001)));
}

#[test]
fn repeats_never_pass_their_bound_in_any_window() {
    let options = RepeatOptions {
        window: Millis(10_000),
        transit: Millis(0),
        ratio: 0.18,
        slack: 6.0,
    };
    let mut limit = RepeatLimit::new_ext(options, Millis(0));
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..4_000_u64 {
        let now = Millis(step * 10);
        // The load comes in waves, and each request is to be repeated immediately.
        if step % 1_000 < 600 {
            limit.record_request(now);
            requests.push(now);
        }
        if limit.try_reserve(now) {
            limit.spend();
            repeats.push(now);
        }
        // The limit is checked against the requests of the current window, of the previous one, and of the
        // one half a window earlier.
        let count_in_window = |list: &[Millis], back: u64| {
            let until = now - Millis(back);
            let since = until - options.window;
            let count = list
                .iter()
                .filter(|at| **at > since && **at <= until)
                .count();
            f64::from(u32::try_from(count).unwrap())
        };
        let max_requests = [0, 5_000, 10_000].map(|back| count_in_window(&requests, back));
        let max_requests = max_requests.into_iter().fold(0.0, f64::max);
        let sent = count_in_window(&repeats, 0);
        assert!(
            sent <= 0.2 * max_requests + 7.0,
            "{sent} of {max_requests} at {now:?}"
        );
    }
    assert!(repeats.len() > 300, "{}", repeats.len());
}

/// Guards against proposals in another order than that of the choice itself.
#[test]
fn engines_are_ranked_as_they_would_be_chosen_one_after_the_other() {
    use AdapterState::{Absent, Cached, Loaded, Loading};
    let states = [Absent, Loading, Cached, Loaded];
    let mut engines: Vec<EngineView> = (0_u64..12)
        .map(|n| engine(n, states[(n % 4) as usize], n * 7_919 % 20_000))
        .collect();
    let choice = EngineChoice::new(7);
    let ranked: Vec<u64> = choice
        .rank(&engines, 5)
        .into_iter()
        .map(|i| engines[i].key)
        .collect();
    // Homes are ranked among the engines of a call, so only engines that need no home are left out one by one.
    engines.retain(|e| e.adapter_state != Absent);
    let mut chosen = Vec::new();
    while chosen.len() < ranked.len() {
        let best = choice.pick(&engines).unwrap();
        chosen.push(engines.remove(best).key);
    }
    assert_eq!(ranked, chosen);
}
