//! Choice of engine and of plain upstream, and the bound on repeats.

use pumicecleat_policy::{
    AdapterState, EngineChoice, EngineView, RepeatOptions, RepeatWindow, UpstreamLoad,
    UpstreamStats,
};
use pumicecleat_types::{EngineTraits, Millis};

/// What was learned of each engine.
const TRAITS: EngineTraits = EngineTraits {
    rate: 16_000,
    load_ms: 300,
    kept_ms: 60,
    keeps: 25,
};

fn engine(key: u64, hold: AdapterState, unread: u64) -> EngineView {
    EngineView {
        key,
        adapter_state: hold,
        available_slots: 2,
        unread_tokens: unread,
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

fn cases_by_hold() -> Vec<Case> {
    use AdapterState::{Absent, Cached, Loaded, Loading};
    vec![
        Case {
            name: "a host that keeps it before one that fetches it",
            engines: [engine(1, Absent, 0), engine(2, Cached, 6_000)],
            best: 1,
        },
        Case {
            name: "a host that keeps it but is far behind is left",
            engines: [engine(1, Absent, 0), engine(2, Cached, 24_000)],
            best: 0,
        },
        Case {
            name: "a holder before one that would have to load",
            engines: [engine(1, Absent, 0), engine(2, Loaded, 4_000)],
            best: 1,
        },
        Case {
            name: "a holder far behind is left for a further copy",
            engines: [engine(1, Absent, 0), engine(2, Loaded, 40_000)],
            best: 0,
        },
        Case {
            name: "of two holders the one with less to read",
            engines: [engine(1, Loaded, 9_000), engine(2, Loaded, 3_000)],
            best: 1,
        },
        Case {
            name: "a load under way before a new one",
            engines: [engine(1, Absent, 0), engine(2, Loading, 0)],
            best: 1,
        },
    ]
}

fn cases_by_running() -> Vec<Case> {
    use AdapterState::Loaded;
    vec![Case {
        name: "a prompt of 2,400 where fewer streams stand still for it",
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
            name: "an engine that reads slowly after others",
            engines: [
                EngineView {
                    traits: EngineTraits {
                        rate: TRAITS.rate / 8,
                        ..TRAITS
                    },
                    ..engine(1, Loaded, 1_000)
                },
                engine(2, Loaded, 6_000),
            ],
            best: 1,
        },
        Case {
            name: "an engine that starts after one that runs",
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
            name: "old figures after fresh ones",
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
            name: "no place to spare after one to spare",
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
fn the_first_event_is_sought_where_it_is_expected_first() {
    let cases = [cases_by_hold(), cases_by_running(), cases_by_state()];
    for case in cases.into_iter().flatten() {
        let choice = EngineChoice::new(7);
        assert_eq!(choice.pick(&case.engines), Some(case.best), "{}", case.name);
    }
}

#[test]
fn a_rare_adapter_has_the_same_home_at_every_entry() {
    let engines: Vec<EngineView> = (1..=9)
        .map(|key| engine(key, AdapterState::Absent, 0))
        .collect();
    let turned: Vec<EngineView> = engines.iter().rev().copied().collect();
    for adapter in 0..50 {
        let choice = EngineChoice::new(adapter);
        let here = engines[choice.pick(&engines).unwrap()].key;
        let there = turned[choice.pick(&turned).unwrap()].key;
        assert_eq!(here, there, "adapter {adapter}");
    }
}

#[test]
fn free_slots_are_filled_evenly_and_a_failure_puts_behind_for_a_while() {
    let view = |own| UpstreamLoad {
        own_requests: own,
        slots: 6,
        ..UpstreamLoad::default()
    };
    let mut sound = UpstreamStats::default();
    sound.record_response(Millis(60));
    let now = Millis(1_000);
    assert!(sound.cost(&view(0), now) < sound.cost(&view(2), now));
    assert!(sound.cost(&view(2), now) < sound.cost(&view(9), now));
    let mut failed = sound;
    failed.record_failure(now);
    assert!(failed.cost(&view(0), now) > sound.cost(&view(9), now));
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
        ratio: 0.18,
        slack: 6.0,
    };
    let mut window = RepeatWindow::new_ext(options);
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..4_000_u64 {
        let now = Millis(step * 10);
        // Load comes in waves, and each request wants to be repeated at once.
        if step % 1_000 < 600 {
            window.record_request(now);
            requests.push(now);
        }
        if window.try_repeat(now) {
            repeats.push(now);
        }
        // Requests count in the window, in the one before it or half a window before it.
        let within = |list: &[Millis], back: u64| {
            let until = now - Millis(back);
            let since = until - options.window;
            let count = list
                .iter()
                .filter(|at| **at > since && **at <= until)
                .count();
            f64::from(u32::try_from(count).unwrap())
        };
        let most = [0, 5_000, 10_000].map(|back| within(&requests, back));
        let most = most.into_iter().fold(0.0, f64::max);
        let sent = within(&repeats, 0);
        assert!(sent <= 0.2 * most + 7.0, "{sent} of {most} at {now:?}");
    }
    assert!(repeats.len() > 300, "{}", repeats.len());
}
