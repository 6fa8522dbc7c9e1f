//! Scheduling for one engine: adapter slots, orders, order of turns, and refusals.

use pumicecleat_policy::{
    BaseLoadTimes, BaseLocation, EngineOrder, EngineReport, OrderOutcome, ReportedRun, TurnAction,
    TurnId, TurnOptions, TurnRequest, TurnScheduler,
};
use pumicecleat_types::{EngineTraits, Millis, TurnRefusal};

/// Load times of the base model.
const BASE_LOAD_TIMES: BaseLoadTimes = BaseLoadTimes {
    memory: Millis(200),
    disk: Millis(1_000),
    store: Millis(3_000),
};

const OPTIONS: TurnOptions = TurnOptions {
    adapter_slots: 2,
    max_batch: 8,
    base_load_times: BASE_LOAD_TIMES,
    min_loads: None,
    pause_guard: 0.0,
    account_shares: false,
};

/// Traits of the engine's peers.
const PEERS: EngineTraits = EngineTraits {
    tokens_per_s: 20_000,
    store_load_ms: 250,
    cached_load_ms: 25,
    cache_size: 2,
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
        ..TurnRequest::default()
    }
}

fn report(sequence: u64, loaded: &[&str], loading: &[&str]) -> EngineReport {
    let versioned = |names: &[&str]| names.iter().map(|n| ((*n).to_owned(), 1)).collect();
    EngineReport {
        sequence,
        base_loaded: true,
        loaded_adapters: versioned(loaded),
        loading_adapters: versioned(loading),
        ..EngineReport::default()
    }
}

/// Scheduler for an engine that has `loaded` loaded.
fn scheduler_with(loaded: &[&str]) -> TurnScheduler {
    let mut scheduler = TurnScheduler::new_ext(OPTIONS);
    scheduler.set_peer_traits(&PEERS);
    scheduler.apply_report(&report(0, loaded, &[]), Millis(0));
    scheduler
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

fn grant(turn: TurnId) -> TurnAction {
    TurnAction::Grant {
        turn,
        version: Some(1),
    }
}

#[test]
fn a_loaded_adapter_is_granted_at_once_and_an_absent_one_after_its_load() {
    let mut scheduler = scheduler_with(&["a1"]);
    let loaded = scheduler.enqueue(request("r1", "a1"), Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [grant(loaded)]);
    let absent = scheduler.enqueue(request("r2", "a2"), Millis(2));
    assert_eq!(scheduler.poll(Millis(2)), [load("a2", 0)]);
    scheduler.order_ended(OrderOutcome::Accepted, Millis(3));
    scheduler.apply_report(&report(1, &["a1"], &["a2"]), Millis(100));
    assert_eq!(scheduler.poll(Millis(100)), []);
    scheduler.apply_report(&report(1, &["a1", "a2"], &[]), Millis(300));
    assert_eq!(scheduler.poll(Millis(300)), [grant(absent)]);
}

#[test]
fn the_idle_adapter_with_the_lowest_demand_is_evicted() {
    let mut scheduler = scheduler_with(&["a1", "a2"]);
    for (n, adapter) in ["a1", "a1", "a1", "a2"].iter().enumerate() {
        let (id, now) = (format!("r{n}"), Millis(200 * n as u64));
        let turn = scheduler.enqueue(request(&id, adapter), now);
        assert_eq!(scheduler.poll(now), [grant(turn)]);
        scheduler.request_ended(&id);
    }
    scheduler.enqueue(request("r4", "a3"), Millis(800));
    assert_eq!(scheduler.poll(Millis(800)), [unload("a2", 0)]);
    scheduler.order_ended(OrderOutcome::Done, Millis(801));
    assert_eq!(scheduler.poll(Millis(801)), [load("a3", 1)]);
}

#[test]
fn an_adapter_in_use_is_never_evicted() {
    let mut scheduler = scheduler_with(&["a1", "a2"]);
    scheduler.enqueue(request("r1", "a1"), Millis(1));
    scheduler.enqueue(request("r2", "a2"), Millis(1));
    scheduler.poll(Millis(1));
    scheduler.enqueue(request("r3", "a3"), Millis(2));
    assert_eq!(scheduler.poll(Millis(2)), []);
    scheduler.request_ended("r1");
    assert_eq!(scheduler.poll(Millis(3)), [unload("a1", 0)]);
}

/// Regression test: the engine still ran requests that had not been granted a turn by the agent, and a load
/// was ordered into a slot that was not free yet.
#[test]
fn an_unload_that_waits_for_runs_keeps_its_place() {
    let mut scheduler = scheduler_with(&["a1", "a2"]);
    scheduler.enqueue(request("r1", "a3"), Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [unload("a1", 0)]);
    scheduler.order_ended(OrderOutcome::Accepted, Millis(2));
    assert_eq!(scheduler.poll(Millis(300)), [], "a1 is not unloaded yet");
    scheduler.apply_report(&report(1, &["a1", "a2"], &[]), Millis(501));
    assert_eq!(scheduler.poll(Millis(501)), [unload("a2", 1)]);
    scheduler.order_ended(OrderOutcome::Done, Millis(502));
    assert_eq!(scheduler.poll(Millis(502)), [load("a3", 2)]);
}

#[test]
fn an_order_without_an_answer_may_or_may_not_have_been_carried_out() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.enqueue(request("r1", "a2"), Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [load("a2", 0)]);
    scheduler.order_ended(OrderOutcome::Unknown, Millis(300));
    assert_eq!(scheduler.poll(Millis(301)), [], "no order before a report");
    scheduler.apply_report(&report(0, &["a1"], &[]), Millis(400));
    // The load without an answer may still occupy the second slot, so a slot has to be freed, by an order
    // that is rejected if the load was carried out.
    scheduler.enqueue(request("r2", "a3"), Millis(401));
    assert_eq!(scheduler.poll(Millis(401)), [unload("a1", 0)]);
    scheduler.order_ended(OrderOutcome::Conflict, Millis(402));
    assert_eq!(scheduler.poll(Millis(403)), [], "no order before a report");
    scheduler.apply_report(&report(1, &["a1"], &["a2"]), Millis(500));
    assert_eq!(scheduler.poll(Millis(500)), [unload("a1", 1)]);
}

/// Guards against a load into a slot that an order without an answer takes late, after one that changed nothing.
#[test]
fn no_load_follows_unanswered_orders_before_a_report_settles_them() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.enqueue(request("r1", "a2"), Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [load("a2", 0)]);
    scheduler.order_ended(OrderOutcome::Unknown, Millis(801));
    scheduler.apply_report(&report(0, &["a1"], &[]), Millis(900));
    scheduler.enqueue(request("r2", "a3"), Millis(901));
    assert_eq!(scheduler.poll(Millis(901)), [unload("a1", 0)]);
    scheduler.order_ended(OrderOutcome::Unknown, Millis(1_701));
    scheduler.apply_report(&report(0, &["a1"], &[]), Millis(1_800));
    scheduler.enqueue(request("r3", "a1"), Millis(1_801));
    assert_eq!(scheduler.poll(Millis(1_801)), [load("a1", 0)]);
    scheduler.order_ended(OrderOutcome::Done, Millis(1_802));
    let unsettled = scheduler.poll(Millis(2_000));
    assert_eq!(unsettled, [grant(TurnId(2))], "no order before a report");
    scheduler.apply_report(&report(0, &["a1"], &[]), Millis(2_100));
    assert_eq!(scheduler.poll(Millis(2_100)), [load("a2", 0)]);
    scheduler.order_ended(OrderOutcome::Conflict, Millis(2_103));
    assert_eq!(
        scheduler.poll(Millis(2_300)),
        [],
        "no order before a report"
    );
    // The first load was carried out late.
    scheduler.apply_report(&report(1, &["a1", "a2"], &[]), Millis(2_400));
    let settled = scheduler.poll(Millis(2_400));
    assert_eq!(settled.last(), Some(&unload("a2", 1)), "{settled:?}");
}

#[test]
fn a_load_answered_as_done_keeps_the_sequence_in_sync() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.enqueue(request("r1", "a2"), Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [load("a2", 0)]);
    scheduler.order_ended(OrderOutcome::Done, Millis(2));
    scheduler.apply_report(&report(0, &["a1", "a2"], &[]), Millis(100));
    let actions = scheduler.poll(Millis(100));
    assert_eq!(actions, [grant(TurnId(0))]);
}

#[test]
fn a_version_that_is_too_old_is_replaced_and_not_used() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.declare_version("a1", 4);
    scheduler.enqueue(request("r1", "a1"), Millis(1));
    let wanted = TurnAction::Order {
        order: EngineOrder::Load {
            adapter: "a1".to_owned(),
            version: Some(4),
        },
        sequence: 0,
    };
    assert_eq!(scheduler.poll(Millis(1)), [wanted]);
}

#[test]
fn urgent_requests_go_first_and_prompts_are_sent_slightly_ahead() {
    let mut scheduler = scheduler_with(&["a1"]);
    // Prompts for 150 ms are sent in advance; each takes 100 ms of prefill and 17 ms reserved for decoding.
    let mut ids = Vec::new();
    for n in 0..10 {
        let mut request = request(&format!("r{n}"), "a1");
        request.priority = u8::from(n < 9);
        ids.push(scheduler.enqueue(request, Millis(1)));
    }
    let actions = scheduler.poll(Millis(1));
    assert_eq!(actions, [grant(ids[9]), grant(ids[0])]);
    scheduler.request_started("r9", Millis(50));
    assert_eq!(scheduler.poll(Millis(50)), []);
    assert_eq!(scheduler.poll(Millis(120)), [grant(ids[1])]);
}

#[test]
fn late_requests_are_refused_at_once_with_a_retry_time() {
    let mut scheduler = scheduler_with(&["a1"]);
    let mut last = TurnId(0);
    for n in 0..40 {
        last = scheduler.enqueue(request(&format!("r{n}"), "a1"), Millis(1));
    }
    let actions = scheduler.poll(Millis(1));
    let refused = actions.iter().find_map(|a| match a {
        TurnAction::Refuse {
            turn,
            reason,
            retry_after,
        } if *turn == last => Some((*reason, *retry_after)),
        _ => None,
    });
    let (reason, retry_after) = refused.expect("4 s of prefill before it exceed the limit of 3 s");
    assert_eq!(reason, TurnRefusal::TooLate);
    assert!(retry_after >= Millis(200), "{retry_after:?}");
}

#[test]
fn a_leaving_engine_refuses_all_requests() {
    let cases = [(
        EngineReport {
            leaving: true,
            ..report(0, &["a1"], &[])
        },
        TurnRefusal::Leaving,
    )];
    for (engine_report, wanted) in cases {
        let mut scheduler = TurnScheduler::new_ext(OPTIONS);
        scheduler.apply_report(&engine_report, Millis(0));
        scheduler.enqueue(request("r1", "a1"), Millis(1));
        let actions = scheduler.poll(Millis(1));
        let refused = actions
            .iter()
            .any(|a| matches!(a, TurnAction::Refuse { reason, .. } if *reason == wanted));
        assert!(refused, "{wanted:?}: {actions:?}");
    }
}

#[test]
fn an_unreachable_engine_refuses_requests_and_a_starting_one_lets_them_wait() {
    let mut scheduler = TurnScheduler::new_ext(OPTIONS);
    let first = scheduler.enqueue(request("r1", "a1"), Millis(1));
    let actions = scheduler.poll(Millis(1));
    assert!(
        matches!(&actions[..], [TurnAction::Refuse { turn, .. }] if *turn == first),
        "{actions:?}"
    );
    let on_disk = EngineReport {
        base_location: BaseLocation::Disk,
        ..EngineReport::default()
    };
    scheduler.apply_report(&on_disk, Millis(10));
    scheduler.enqueue(request("r2", "a1"), Millis(11));
    let actions = scheduler.poll(Millis(11));
    assert!(
        matches!(&actions[..], [TurnAction::Order { .. }]),
        "{actions:?}"
    );
    assert_eq!(scheduler.figures("i-1", Millis(11)).ready_ms, Some(1_000));
}

#[test]
fn an_engine_without_its_base_model_is_ordered_to_load_it_once() {
    let mut scheduler = TurnScheduler::new_ext(OPTIONS);
    scheduler.apply_report(&EngineReport::default(), Millis(0));
    let wanted = TurnAction::Order {
        order: EngineOrder::LoadBase,
        sequence: 0,
    };
    assert_eq!(scheduler.poll(Millis(0)), [wanted]);
    scheduler.order_ended(OrderOutcome::Accepted, Millis(1));
    let loading = EngineReport {
        sequence: 1,
        busy: true,
        ..EngineReport::default()
    };
    scheduler.apply_report(&loading, Millis(100));
    assert_eq!(scheduler.poll(Millis(100)), []);
}

#[test]
fn a_request_missing_from_the_report_has_ended() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.enqueue(request("r1", "a1"), Millis(1));
    scheduler.poll(Millis(1));
    let mut running = report(0, &["a1"], &[]);
    running.runs.push(ReportedRun {
        request_id: "r1".to_owned(),
        events: 2,
    });
    running.active = 1;
    scheduler.apply_report(&running, Millis(100));
    assert_eq!(scheduler.running_requests(), 1);
    assert_eq!(
        scheduler.figures("i-1", Millis(100)).unread_tokens,
        0,
        "its answer has begun"
    );
    scheduler.apply_report(&report(0, &["a1"], &[]), Millis(200));
    assert_eq!(scheduler.running_requests(), 0);
}

/// Regression test: requests waited for 2.5 s at an engine whose slots were occupied by streams, while
/// another engine had one available. The engine has to refuse immediately unless the request asks to wait.
#[test]
fn requests_are_refused_at_once_without_a_slot_unless_they_wait() {
    let mut scheduler = scheduler_with(&["a1", "a2"]);
    scheduler.enqueue(request("r1", "a1"), Millis(1));
    scheduler.enqueue(request("r2", "a2"), Millis(1));
    scheduler.poll(Millis(1));
    scheduler.request_started("r1", Millis(2));
    scheduler.request_started("r2", Millis(2));
    let not_waiting = TurnRequest {
        waits_for_slot: false,
        ..request("r3", "a3")
    };
    let not_waiting = scheduler.enqueue(not_waiting, Millis(2));
    let refused = |a: &TurnAction, id: TurnId| matches!(a, TurnAction::Refuse { turn, reason: TurnRefusal::NoSlot, .. } if *turn == id);
    let actions = scheduler.poll(Millis(2));
    assert!(
        actions.iter().any(|a| refused(a, not_waiting)),
        "{actions:?}"
    );
    let waiting = scheduler.enqueue(request("r4", "a4"), Millis(3));
    assert_eq!(scheduler.poll(Millis(1_500)), [], "r4 waits");
    let behind = TurnRequest {
        waits_for_slot: false,
        ..request("r5", "a5")
    };
    scheduler.request_ended("r1");
    let behind = scheduler.enqueue(behind, Millis(1_501));
    let actions = scheduler.poll(Millis(1_501));
    assert!(actions.contains(&unload("a1", 0)), "for r4: {actions:?}");
    assert!(actions.iter().any(|a| refused(a, behind)), "r4 was first");
    scheduler.order_ended(OrderOutcome::Done, Millis(1_502));
    assert_eq!(scheduler.poll(Millis(1_502)), [load("a4", 1)]);
    scheduler.order_ended(OrderOutcome::Accepted, Millis(1_503));
    scheduler.apply_report(&report(2, &["a2", "a4"], &[]), Millis(1_800));
    assert_eq!(scheduler.poll(Millis(1_800)), [grant(waiting)]);
}

/// The host still caches recently unloaded adapters, and loads them ten times as fast.
#[test]
fn recently_unloaded_adapters_count_as_cached() {
    struct Case {
        name: &'static str,
        reports: &'static [&'static [&'static str]],
        cached: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "nothing was unloaded",
            reports: &[&["a1"], &["a1", "a2"]],
            cached: &[],
        },
        Case {
            name: "one was unloaded",
            reports: &[&["a1", "a2"], &["a2"]],
            cached: &["a1"],
        },
        Case {
            name: "the latest first, and no more than the cache holds",
            reports: &[&["a1", "a2"], &["a3", "a2"], &["a3", "a4"], &["a5", "a4"]],
            cached: &["a3", "a2"],
        },
        Case {
            name: "loaded again",
            reports: &[&["a1", "a2"], &["a2"], &["a1", "a2"]],
            cached: &[],
        },
    ];
    for case in cases {
        let mut scheduler = scheduler_with(&[]);
        for loaded in case.reports {
            scheduler.apply_report(&report(0, loaded, &[]), Millis(0));
        }
        assert_eq!(scheduler.cached_adapters(), case.cached, "{}", case.name);
        scheduler.reset(Millis(0));
        assert_eq!(
            scheduler.cached_adapters(),
            [""; 0],
            "{}: another instance",
            case.name
        );
    }
}

/// Regression test: a load of 25 ms was noticed up to 100 ms late, and the request waited for that time.
#[test]
fn a_request_waiting_for_its_adapter_makes_reports_urgent() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.enqueue(request("r1", "a1"), Millis(1));
    assert!(!scheduler.is_waiting_for_adapter(), "it is loaded");
    scheduler.enqueue(request("r2", "a2"), Millis(1));
    assert!(scheduler.is_waiting_for_adapter(), "it is not loaded");
    scheduler.poll(Millis(1));
    scheduler.order_ended(OrderOutcome::Accepted, Millis(2));
    assert!(scheduler.is_waiting_for_adapter(), "it is being loaded");
    scheduler.apply_report(&report(1, &["a1", "a2"], &[]), Millis(30));
    scheduler.poll(Millis(30));
    assert!(!scheduler.is_waiting_for_adapter(), "its turn was granted");
}

/// Regression test: after a power failure, a backlog of two seconds was served in the order of arrival, so
/// that all of it and each later request were late. A late answer loses nothing by another second.
#[test]
fn requests_that_can_be_in_time_go_before_late_ones() {
    struct Case {
        name: &'static str,
        /// Remaining objective of each request, ms.
        objective_left: [u64; 3],
        priority: [u8; 3],
        order: [usize; 3],
    }
    let cases = [
        Case {
            name: "all in time: earliest deadline first",
            objective_left: [900, 700, 500],
            priority: [1, 1, 1],
            order: [2, 1, 0],
        },
        Case {
            name: "all in time: priority does not override the deadline",
            objective_left: [900, 700, 800],
            priority: [0, 2, 1],
            order: [1, 2, 0],
        },
        Case {
            name: "equal deadlines: by priority, then by age",
            objective_left: [900, 900, 900],
            priority: [1, 0, 1],
            order: [1, 0, 2],
        },
        Case {
            name: "late requests last",
            objective_left: [0, 20, 900],
            priority: [1, 1, 1],
            order: [2, 0, 1],
        },
        Case {
            name: "urgent requests first among those in time",
            objective_left: [900, 0, 900],
            priority: [1, 0, 0],
            order: [2, 0, 1],
        },
        Case {
            name: "urgent requests first among the late ones",
            objective_left: [0, 0, 0],
            priority: [1, 0, 1],
            order: [1, 0, 2],
        },
    ];
    for case in cases {
        let mut scheduler = scheduler_with(&["a1"]);
        let turns: Vec<TurnId> = (0..3)
            .map(|n| {
                let wanted = TurnRequest {
                    prompt_tokens: 500,
                    objective_left: Millis(case.objective_left[n]),
                    priority: case.priority[n],
                    ..request(&format!("r{n}"), "a1")
                };
                scheduler.enqueue(wanted, Millis(1))
            })
            .collect();
        let expected: Vec<TurnAction> = case.order.iter().map(|n| grant(turns[*n])).collect();
        assert_eq!(scheduler.poll(Millis(1)), expected, "{}", case.name);
    }
}

/// A load that was outstanding when the engine restarted as the same instance may still arrive, and is
/// carried out once the restarted engine has reached the sequence that it names.
#[test]
fn a_load_from_before_a_start_keeps_a_place_free_while_it_may_arrive() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.enqueue(request("r1", "a2"), Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [load("a2", 0)]);
    scheduler.order_ended(OrderOutcome::Unknown, Millis(300));
    scheduler.reset(Millis(400));
    scheduler.apply_report(&report(0, &["a5"], &[]), Millis(500));
    // One of the two slots is occupied by a5, the other is reserved for the late load.
    assert_eq!(scheduler.poll(Millis(500)), [unload("a5", 0)]);
    scheduler.order_ended(OrderOutcome::Done, Millis(501));
    assert_eq!(scheduler.poll(Millis(501)), [load("a2", 1)]);
    scheduler.order_ended(OrderOutcome::Accepted, Millis(502));
    scheduler.apply_report(&report(2, &["a2"], &[]), Millis(800));
    scheduler.enqueue(request("r2", "a3"), Millis(800));
    let actions = scheduler.poll(Millis(800));
    assert!(
        actions.contains(&load("a3", 2)),
        "it named sequence 0: {actions:?}"
    );
}

/// The time until an engine accepts requests depends on the location of the base model's weights.
#[test]
fn an_engine_without_its_base_model_reports_when_it_will_be_ready() {
    let cases = [
        (BaseLocation::Memory, 200),
        (BaseLocation::Disk, 1_000),
        (BaseLocation::Store, 3_000),
    ];
    for (base_location, wanted) in cases {
        let mut scheduler = TurnScheduler::new_ext(OPTIONS);
        let empty = EngineReport {
            base_location,
            ..EngineReport::default()
        };
        scheduler.apply_report(&empty, Millis(0));
        let ready = scheduler.figures("i", Millis(0)).ready_ms;
        assert_eq!(ready, Some(wanted), "{base_location:?}");
    }
}

/// The measured time to the first event is reported as a fraction of the expected time.
#[test]
fn first_event_time_is_compared_with_the_expected_time() {
    let mut scheduler = scheduler_with(&["a1"]);
    scheduler.enqueue(request("r1", "a1"), Millis(0));
    scheduler.poll(Millis(0));
    assert!(scheduler.take_first_event_ratios().is_empty());
    // 2,000 tokens at 0.85 of 20,000 tokens per second take 117 ms.
    scheduler.request_started("r1", Millis(234));
    assert_eq!(scheduler.take_first_event_ratios(), [2.0]);
    assert!(scheduler.take_first_event_ratios().is_empty(), "taken once");
}

/// Guards against a turn for a request that will be late in any case, because the engine first prefills what it was
/// sent before, while another request could still be on time.
#[test]
fn prefill_that_was_sent_before_counts_for_whether_a_request_can_be_on_time() {
    let mut scheduler = scheduler_with(&["a1"]);
    let first = TurnRequest {
        prompt_tokens: 3_000,
        ..request("r1", "a1")
    };
    let first = scheduler.enqueue(first, Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [grant(first)]);
    let left = |id: &str, ms| TurnRequest {
        objective_left: Millis(ms),
        ..request(id, "a1")
    };
    scheduler.enqueue(left("r2", 250), Millis(2));
    let on_time = scheduler.enqueue(left("r3", 500), Millis(2));
    assert_eq!(scheduler.poll(Millis(2)), []);
    assert_eq!(scheduler.poll(Millis(60)), [grant(on_time)]);
}

/// Guards against a load for a request that will be late in any case before one for a request that can be on time.
#[test]
fn a_load_counts_for_whether_a_request_can_be_on_time() {
    let mut scheduler = scheduler_with(&[]);
    let left = |id: &str, adapter: &str, ms| TurnRequest {
        objective_left: Millis(ms),
        ..request(id, adapter)
    };
    scheduler.enqueue(left("r1", "a1", 300), Millis(1));
    scheduler.enqueue(left("r2", "a2", 900), Millis(1));
    assert_eq!(scheduler.poll(Millis(1)), [load("a2", 0)]);
}
