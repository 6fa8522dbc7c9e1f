//! Turns at one engine: places, orders, order of turns and refusals.

use pumicecleat_policy::{
    BaseLoadTimes, BaseLocation, EngineOrder, EngineReport, OrderOutcome, ReportedRun, TurnAction,
    TurnId, TurnOptions, TurnRequest, TurnScheduler,
};
use pumicecleat_types::{EngineTraits, Millis, TurnRefusal};

/// Times of a load of the base model.
const LOADS: BaseLoadTimes = BaseLoadTimes {
    memory: Millis(200),
    disk: Millis(1_000),
    store: Millis(3_000),
};

const OPTIONS: TurnOptions = TurnOptions {
    adapter_slots: 2,
    max_batch: 8,
    base_load_times: LOADS,
};

/// What the engine's peers were found to do.
const PEERS: EngineTraits = EngineTraits {
    rate: 20_000,
    load_ms: 250,
    kept_ms: 25,
    keeps: 2,
};

fn request(id: &str, adapter: &str) -> TurnRequest {
    TurnRequest {
        request_id: id.to_owned(),
        adapter: Some(adapter.to_owned()),
        min_version: 0,
        prompt_tokens: 2_000,
        priority: 1,
        objective: Millis(1_000),
        objective_left: Millis(1_000),
        patience: Millis(4_000),
        waits_for_slot: true,
    }
}

fn state(sequence: u64, held: &[&str], loading: &[&str]) -> EngineReport {
    let versioned = |names: &[&str]| names.iter().map(|n| ((*n).to_owned(), 1)).collect();
    EngineReport {
        sequence,
        base_loaded: true,
        adapters: versioned(held),
        loading_adapters: versioned(loading),
        ..EngineReport::default()
    }
}

/// Turns at an engine that holds `held`.
fn turns(held: &[&str]) -> TurnScheduler {
    let mut turns = TurnScheduler::new_ext(OPTIONS);
    turns.set_peer_traits(&PEERS);
    turns.apply_report(&state(0, held, &[]), Millis(0));
    turns
}

fn load(adapter: &str, sequence: u64) -> TurnAction {
    let adapter = adapter.to_owned();
    TurnAction::Order {
        order: EngineOrder::Load {
            adapter,
            version: None,
        },
        sequence,
    }
}

fn unload(adapter: &str, sequence: u64) -> TurnAction {
    let adapter = adapter.to_owned();
    TurnAction::Order {
        order: EngineOrder::Unload { adapter },
        sequence,
    }
}

fn go(turn: TurnId) -> TurnAction {
    TurnAction::Grant {
        turn,
        version: Some(1),
    }
}

#[test]
fn a_held_adapter_goes_at_once_and_an_absent_one_after_its_load() {
    let mut turns = turns(&["a1"]);
    let held = turns.enqueue(request("r1", "a1"), Millis(1));
    assert_eq!(turns.poll(Millis(1)), [go(held)]);
    let absent = turns.enqueue(request("r2", "a2"), Millis(2));
    assert_eq!(turns.poll(Millis(2)), [load("a2", 0)]);
    turns.order_ended(OrderOutcome::Accepted, Millis(3));
    turns.apply_report(&state(1, &["a1"], &["a2"]), Millis(100));
    assert_eq!(turns.poll(Millis(100)), []);
    turns.apply_report(&state(1, &["a1", "a2"], &[]), Millis(300));
    assert_eq!(turns.poll(Millis(300)), [go(absent)]);
}

#[test]
fn the_idle_adapter_asked_for_least_makes_way() {
    let mut turns = turns(&["a1", "a2"]);
    for (n, adapter) in ["a1", "a1", "a1", "a2"].iter().enumerate() {
        let (id, now) = (format!("r{n}"), Millis(200 * n as u64));
        let asked = turns.enqueue(request(&id, adapter), now);
        assert_eq!(turns.poll(now), [go(asked)]);
        turns.request_ended(&id);
    }
    turns.enqueue(request("r4", "a3"), Millis(800));
    assert_eq!(turns.poll(Millis(800)), [unload("a2", 0)]);
    turns.order_ended(OrderOutcome::Done, Millis(801));
    assert_eq!(turns.poll(Millis(801)), [load("a3", 1)]);
}

#[test]
fn an_adapter_in_use_never_makes_way() {
    let mut turns = turns(&["a1", "a2"]);
    turns.enqueue(request("r1", "a1"), Millis(1));
    turns.enqueue(request("r2", "a2"), Millis(1));
    turns.poll(Millis(1));
    turns.enqueue(request("r3", "a3"), Millis(2));
    assert_eq!(turns.poll(Millis(2)), []);
    turns.request_ended("r1");
    assert_eq!(turns.poll(Millis(3)), [unload("a1", 0)]);
}

/// Regression: the engine still ran requests that the agent had not given their turn; a load was
/// ordered into the place that was not free yet.
#[test]
fn an_unload_that_waits_for_runs_keeps_its_place() {
    let mut turns = turns(&["a1", "a2"]);
    turns.enqueue(request("r1", "a3"), Millis(1));
    assert_eq!(turns.poll(Millis(1)), [unload("a1", 0)]);
    turns.order_ended(OrderOutcome::Accepted, Millis(2));
    assert_eq!(turns.poll(Millis(300)), [], "a1 is not out");
    turns.apply_report(&state(1, &["a1", "a2"], &[]), Millis(501));
    assert_eq!(turns.poll(Millis(501)), [unload("a2", 1)]);
    turns.order_ended(OrderOutcome::Done, Millis(502));
    assert_eq!(turns.poll(Millis(502)), [load("a3", 2)]);
}

#[test]
fn an_order_without_an_answer_counts_as_done_and_as_not_done() {
    let mut turns = turns(&["a1"]);
    turns.enqueue(request("r1", "a2"), Millis(1));
    assert_eq!(turns.poll(Millis(1)), [load("a2", 0)]);
    turns.order_ended(OrderOutcome::Unknown, Millis(300));
    assert_eq!(turns.poll(Millis(301)), [], "nothing before a report");
    turns.apply_report(&state(0, &["a1"], &[]), Millis(400));
    // The lost load may still take the second place: one has to be freed, by an order that is void
    // if it did.
    turns.enqueue(request("r2", "a3"), Millis(401));
    assert_eq!(turns.poll(Millis(401)), [unload("a1", 0)]);
    turns.order_ended(OrderOutcome::Conflict, Millis(402));
    assert_eq!(turns.poll(Millis(403)), [], "nothing before a report");
    turns.apply_report(&state(1, &["a1"], &["a2"]), Millis(500));
    assert_eq!(turns.poll(Millis(500)), [unload("a1", 1)]);
}

#[test]
fn an_order_that_held_already_does_not_lose_the_sequence() {
    let mut turns = turns(&["a1"]);
    turns.enqueue(request("r1", "a2"), Millis(1));
    assert_eq!(turns.poll(Millis(1)), [load("a2", 0)]);
    turns.order_ended(OrderOutcome::Done, Millis(2));
    turns.apply_report(&state(0, &["a1", "a2"], &[]), Millis(100));
    let actions = turns.poll(Millis(100));
    assert_eq!(actions, [go(TurnId(0))]);
}

#[test]
fn a_version_that_is_too_old_is_replaced_and_not_used() {
    let mut turns = turns(&["a1"]);
    turns.declare_version("a1", 4);
    turns.enqueue(request("r1", "a1"), Millis(1));
    let wanted = TurnAction::Order {
        order: EngineOrder::Load {
            adapter: "a1".to_owned(),
            version: Some(4),
        },
        sequence: 0,
    };
    assert_eq!(turns.poll(Millis(1)), [wanted]);
}

#[test]
fn the_more_urgent_go_first_and_prompts_are_handed_over_a_little_ahead() {
    let mut turns = turns(&["a1"]);
    // 150 ms are handed over, each prompt taking 100 ms of reading and 17 of rest.
    let mut ids = Vec::new();
    for n in 0..10 {
        let mut request = request(&format!("r{n}"), "a1");
        request.priority = u8::from(n < 9);
        ids.push(turns.enqueue(request, Millis(1)));
    }
    let actions = turns.poll(Millis(1));
    assert_eq!(actions, [go(ids[9]), go(ids[0])]);
    turns.request_started("r9", Millis(50));
    assert_eq!(turns.poll(Millis(50)), []);
    assert_eq!(turns.poll(Millis(120)), [go(ids[1])]);
}

#[test]
fn what_would_be_too_late_is_refused_at_once_with_a_time_to_come_back() {
    let mut turns = turns(&["a1"]);
    let mut last = TurnId(0);
    for n in 0..40 {
        last = turns.enqueue(request(&format!("r{n}"), "a1"), Millis(1));
    }
    let actions = turns.poll(Millis(1));
    let refused = actions.iter().find_map(|a| match a {
        TurnAction::Refuse {
            turn,
            reason,
            retry_after: retry,
        } if *turn == last => Some((*reason, *retry)),
        _ => None,
    });
    let (reason, retry) = refused.expect("4 s of reading before it, 3 s are promised");
    assert_eq!(reason, TurnRefusal::Late);
    assert!(retry >= Millis(200), "{retry:?}");
}

#[test]
fn an_engine_that_takes_nothing_refuses_all() {
    let cases = [(
        EngineReport {
            leaving: true,
            ..state(0, &["a1"], &[])
        },
        TurnRefusal::Leaving,
    )];
    for (state, wanted) in cases {
        let mut turns = TurnScheduler::new_ext(OPTIONS);
        turns.apply_report(&state, Millis(0));
        turns.enqueue(request("r1", "a1"), Millis(1));
        let actions = turns.poll(Millis(1));
        let refused = actions
            .iter()
            .any(|a| matches!(a, TurnAction::Refuse { reason, .. } if *reason == wanted));
        assert!(refused, "{wanted:?}: {actions:?}");
    }
}

#[test]
fn an_engine_that_does_not_answer_refuses_all_and_one_that_starts_lets_them_wait() {
    let mut turns = TurnScheduler::new_ext(OPTIONS);
    let first = turns.enqueue(request("r1", "a1"), Millis(1));
    let actions = turns.poll(Millis(1));
    assert!(
        matches!(&actions[..], [TurnAction::Refuse { turn, .. }] if *turn == first),
        "{actions:?}"
    );
    let on_disk = EngineReport {
        base_location: BaseLocation::Disk,
        ..EngineReport::default()
    };
    turns.apply_report(&on_disk, Millis(10));
    turns.enqueue(request("r2", "a1"), Millis(11));
    let actions = turns.poll(Millis(11));
    assert!(
        matches!(&actions[..], [TurnAction::Order { .. }]),
        "{actions:?}"
    );
    assert_eq!(turns.figures("i-1", Millis(11)).ready_ms, Some(1_000));
}

#[test]
fn an_engine_without_its_base_model_is_ordered_to_load_it_once() {
    let mut turns = TurnScheduler::new_ext(OPTIONS);
    turns.apply_report(&EngineReport::default(), Millis(0));
    let wanted = TurnAction::Order {
        order: EngineOrder::LoadBase,
        sequence: 0,
    };
    assert_eq!(turns.poll(Millis(0)), [wanted]);
    turns.order_ended(OrderOutcome::Accepted, Millis(1));
    let loading = EngineReport {
        sequence: 1,
        busy: true,
        ..EngineReport::default()
    };
    turns.apply_report(&loading, Millis(100));
    assert_eq!(turns.poll(Millis(100)), []);
}

#[test]
fn a_run_that_the_report_drops_has_ended() {
    let mut turns = turns(&["a1"]);
    turns.enqueue(request("r1", "a1"), Millis(1));
    turns.poll(Millis(1));
    let mut seen = state(0, &["a1"], &[]);
    seen.runs.push(ReportedRun {
        request_id: "r1".to_owned(),
        events: 2,
    });
    seen.active = 1;
    turns.apply_report(&seen, Millis(100));
    assert_eq!(turns.running_requests(), 1);
    assert_eq!(
        turns.figures("i-1", Millis(100)).unread,
        0,
        "its answer has begun"
    );
    turns.apply_report(&state(0, &["a1"], &[]), Millis(200));
    assert_eq!(turns.running_requests(), 0);
}

/// Regression: requests waited for 2.5 s at an engine whose places streams held, while another had
/// one to give. Now they learn it at once, and wait only where they asked to.
#[test]
fn an_engine_without_a_place_says_so_at_once_and_keeps_the_line_of_those_that_stay() {
    let mut turns = turns(&["a1", "a2"]);
    turns.enqueue(request("r1", "a1"), Millis(1));
    turns.enqueue(request("r2", "a2"), Millis(1));
    turns.poll(Millis(1));
    turns.request_started("r1", Millis(2));
    turns.request_started("r2", Millis(2));
    let passing = TurnRequest {
        waits_for_slot: false,
        ..request("r3", "a3")
    };
    let passing = turns.enqueue(passing, Millis(2));
    let refused = |a: &TurnAction, id: TurnId| matches!(a, TurnAction::Refuse { turn, reason: TurnRefusal::NoPlace, .. } if *turn == id);
    let actions = turns.poll(Millis(2));
    assert!(actions.iter().any(|a| refused(a, passing)), "{actions:?}");
    let staying = turns.enqueue(request("r4", "a4"), Millis(3));
    assert_eq!(turns.poll(Millis(1_500)), [], "r4 stays");
    let behind = TurnRequest {
        waits_for_slot: false,
        ..request("r5", "a5")
    };
    turns.request_ended("r1");
    let behind = turns.enqueue(behind, Millis(1_501));
    let actions = turns.poll(Millis(1_501));
    assert!(actions.contains(&unload("a1", 0)), "for r4: {actions:?}");
    assert!(actions.iter().any(|a| refused(a, behind)), "r4 was first");
    turns.order_ended(OrderOutcome::Done, Millis(1_502));
    assert_eq!(turns.poll(Millis(1_502)), [load("a4", 1)]);
    turns.order_ended(OrderOutcome::Accepted, Millis(1_503));
    turns.apply_report(&state(2, &["a2", "a4"], &[]), Millis(1_800));
    assert_eq!(turns.poll(Millis(1_800)), [go(staying)]);
}

/// The host's memory still has what the engine gave up lately, and loads it ten times as fast.
#[test]
fn what_was_unloaded_lately_counts_as_kept() {
    struct Case {
        name: &'static str,
        reports: &'static [&'static [&'static str]],
        kept: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "nothing was given up",
            reports: &[&["a1"], &["a1", "a2"]],
            kept: &[],
        },
        Case {
            name: "one was given up",
            reports: &[&["a1", "a2"], &["a2"]],
            kept: &["a1"],
        },
        Case {
            name: "the latest first, and no more than fit beside the places",
            reports: &[&["a1", "a2"], &["a3", "a2"], &["a3", "a4"], &["a5", "a4"]],
            kept: &["a3", "a2"],
        },
        Case {
            name: "held again",
            reports: &[&["a1", "a2"], &["a2"], &["a1", "a2"]],
            kept: &[],
        },
    ];
    for case in cases {
        let mut turns = turns(&[]);
        for held in case.reports {
            turns.apply_report(&state(0, held, &[]), Millis(0));
        }
        assert_eq!(turns.cached_adapters(), case.kept, "{}", case.name);
        turns.reset(Millis(0));
        assert_eq!(
            turns.cached_adapters(),
            [""; 0],
            "{}: another instance",
            case.name
        );
    }
}

/// Regression: a load of 25 ms was noticed up to 100 ms later, and its caller waited for it.
#[test]
fn a_request_that_waits_for_its_adapter_makes_reports_urgent() {
    let mut turns = turns(&["a1"]);
    turns.enqueue(request("r1", "a1"), Millis(1));
    assert!(!turns.is_waiting_for_adapter(), "it is held");
    turns.enqueue(request("r2", "a2"), Millis(1));
    assert!(turns.is_waiting_for_adapter(), "it is not held");
    turns.poll(Millis(1));
    turns.order_ended(OrderOutcome::Accepted, Millis(2));
    assert!(turns.is_waiting_for_adapter(), "it is on its way");
    turns.apply_report(&state(1, &["a1", "a2"], &[]), Millis(30));
    turns.poll(Millis(30));
    assert!(!turns.is_waiting_for_adapter(), "it had its turn");
}

/// After a loss of all power a backlog of two seconds was served in the order of its arrival: all of it
/// late, and each request after it late as well. A late answer is worth the same a second later.
#[test]
fn what_can_still_be_in_time_goes_before_what_is_late() {
    struct Case {
        name: &'static str,
        /// What is left of each request's objective, ms.
        due: [u64; 3],
        priority: [u8; 3],
        order: [usize; 3],
    }
    let cases = [
        Case {
            name: "all in time: the one whose time is over first",
            due: [900, 700, 500],
            priority: [1, 1, 1],
            order: [2, 1, 0],
        },
        Case {
            name: "all in time: rank decides nothing else",
            due: [900, 700, 800],
            priority: [0, 2, 1],
            order: [1, 2, 0],
        },
        Case {
            name: "equally in time: by rank, then by age",
            due: [900, 900, 900],
            priority: [1, 0, 1],
            order: [1, 0, 2],
        },
        Case {
            name: "late ones last",
            due: [0, 20, 900],
            priority: [1, 1, 1],
            order: [2, 0, 1],
        },
        Case {
            name: "urgent ones first among those in time",
            due: [900, 0, 900],
            priority: [1, 0, 0],
            order: [2, 0, 1],
        },
        Case {
            name: "urgent ones first among those that are late",
            due: [0, 0, 0],
            priority: [1, 0, 1],
            order: [1, 0, 2],
        },
    ];
    for case in cases {
        let mut turns = turns(&["a1"]);
        let asked: Vec<TurnId> = (0..3)
            .map(|n| {
                let wanted = TurnRequest {
                    prompt_tokens: 500,
                    objective_left: Millis(case.due[n]),
                    priority: case.priority[n],
                    ..request(&format!("r{n}"), "a1")
                };
                turns.enqueue(wanted, Millis(1))
            })
            .collect();
        let expected: Vec<TurnAction> = case.order.iter().map(|n| go(asked[*n])).collect();
        assert_eq!(turns.poll(Millis(1)), expected, "{}", case.name);
    }
}

/// A load that was out when its engine started again under its name may still arrive, and is carried
/// out once the new start has come to the sequence that it names.
#[test]
fn a_load_from_before_a_start_keeps_a_place_free_while_it_may_arrive() {
    let mut turns = turns(&["a1"]);
    turns.enqueue(request("r1", "a2"), Millis(1));
    assert_eq!(turns.poll(Millis(1)), [load("a2", 0)]);
    turns.order_ended(OrderOutcome::Unknown, Millis(300));
    turns.reset(Millis(400));
    turns.apply_report(&state(0, &["a5"], &[]), Millis(500));
    // One of two places is a5's, the other the stray load's.
    assert_eq!(turns.poll(Millis(500)), [unload("a5", 0)]);
    turns.order_ended(OrderOutcome::Done, Millis(501));
    assert_eq!(turns.poll(Millis(501)), [load("a2", 1)]);
    turns.order_ended(OrderOutcome::Accepted, Millis(502));
    turns.apply_report(&state(2, &["a2"], &[]), Millis(800));
    turns.enqueue(request("r2", "a3"), Millis(800));
    let actions = turns.poll(Millis(800));
    assert!(
        actions.contains(&load("a3", 2)),
        "it named sequence 0: {actions:?}"
    );
}

/// The time until an engine takes requests is that from where the weights of its base model are.
#[test]
fn an_engine_without_its_base_model_tells_when_it_will_have_it() {
    let cases = [
        (BaseLocation::Memory, 200),
        (BaseLocation::Disk, 1_000),
        (BaseLocation::Store, 3_000),
    ];
    for (copy, wanted) in cases {
        let mut turns = TurnScheduler::new_ext(OPTIONS);
        let empty = EngineReport {
            base_location: copy,
            ..EngineReport::default()
        };
        turns.apply_report(&empty, Millis(0));
        let ready = turns.figures("i", Millis(0)).ready_ms;
        assert_eq!(ready, Some(wanted), "{copy:?}");
    }
}

/// What was expected of a first event is held against when it came.
#[test]
fn a_first_event_is_measured_against_what_was_expected() {
    let mut turns = turns(&["a1"]);
    turns.enqueue(request("r1", "a1"), Millis(0));
    turns.poll(Millis(0));
    assert!(turns.take_first_event_ratios().is_empty());
    // 2,000 tokens at 0.85 of 20,000 a second: 117 ms.
    turns.request_started("r1", Millis(234));
    assert_eq!(turns.take_first_event_ratios(), [2.0]);
    assert!(turns.take_first_event_ratios().is_empty(), "taken once");
}
