//! Table of router cases, each with a few upstreams and the expected decision.

use pumicecleat_policy::{
    AttemptOutcome, LoraIx, ObjectiveWeights, PoolIx, PromptAffinity, RouteDecision, RouteQuery,
    Router, RouterOptions, UpstreamIx, UpstreamStatus,
};
use pumicecleat_types::{LoadFigures, Millis, Reason};

const POOL: PoolIx = PoolIx(0);
const LORA: LoraIx = LoraIx(7);
/// With `affinity_tokens`, its earlier turns save 50 ms of prefill.
const PROMPT: PromptAffinity = PromptAffinity {
    conversation_hash: 99,
    earlier_tokens: 800,
};
/// Seeds tried, as random sampling breaks ties.
const SEEDS: u64 = 16;
const AMPLE_TIME: Millis = Millis(60_000);
const QUERY: RouteQuery<'_> = RouteQuery {
    pool: POOL,
    lora: Some(LORA),
    prompt: Some(PROMPT),
    time_left: AMPLE_TIME,
    tried: &[],
};

/// State of an upstream in a case.
#[derive(Clone, Copy, PartialEq)]
enum UpstreamKind {
    Idle,
    Holder,
    Loader,
    /// Affinity holder of the conversation.
    AffinityHolder,
    /// Affinity holder with a full batch.
    FullAffinityHolder,
    NoFreeSlot,
    Busy,
    BusyFewSlots,
    Leaving,
    Unhealthy,
}
use UpstreamKind::{
    AffinityHolder, Busy, BusyFewSlots, FullAffinityHolder, Holder, Idle, Loader, NoFreeSlot,
};

/// Event after the reports.
#[derive(Clone, Copy)]
enum Event {
    Leaving(u32),
    Forget(u32),
    Sent(u32, usize),
    Ended(u32, AttemptOutcome),
    Expire(u64),
    Restarted(u32),
    Answering(u32),
}

struct Case {
    name: &'static str,
    /// Upstreams with their queue waits, milliseconds.
    ups: &'static [(UpstreamKind, u32)],
    events: &'static [Event],
    tried: &'static [UpstreamIx],
    time_left: Millis,
    expected: Option<u32>,
}

type Upstreams = &'static [(UpstreamKind, u32)];
const PAIR: Upstreams = &[(Holder, 0), (Idle, 0)];

const fn case(
    name: &'static str,
    ups: Upstreams,
    events: &'static [Event],
    expected: Option<u32>,
) -> Case {
    Case {
        name,
        ups,
        events,
        tried: &[],
        time_left: AMPLE_TIME,
        expected,
    }
}

const fn refused(reason: Reason) -> Event {
    Event::Ended(0, AttemptOutcome::Refused(reason, None))
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    case("no upstream", &[], &[], None),
    case("holder before idle", &[(Idle, 0), (Holder, 0), (Idle, 0)], &[], Some(1)),
    case("less busy holder", &[(Holder, 90), (Holder, 0), (Idle, 0)], &[], Some(1)),
    case("loader before idle", &[(Idle, 0), (Idle, 0), (Loader, 0)], &[], Some(2)),
    case("short queue: no copy", &[(Holder, 600), (Idle, 0)], &[], Some(0)),
    case("long queue: a copy", &[(Holder, 900), (Idle, 0)], &[], Some(1)),
    case("no copy without a slot", &[(Holder, 900), (NoFreeSlot, 0)], &[], Some(0)),
    case("leaving by report", &[(UpstreamKind::Leaving, 0), (Idle, 0)], &[], Some(1)),
    case("leaving by the VM list", PAIR, &[Event::Leaving(0)], Some(1)),
    case("leaving by refusal", PAIR, &[refused(Reason::Leaving)], Some(1)),
    case("all leaving", PAIR, &[Event::Leaving(0), Event::Leaving(1)], None),
    case("unhealthy by report", &[(UpstreamKind::Unhealthy, 0), (Idle, 0)], &[], Some(1)),
    case("down by refusal", PAIR, &[refused(Reason::UpstreamDown)], Some(1)),
    case("forgotten", PAIR, &[Event::Forget(0)], Some(1)),
    case("own sends count", &[(Holder, 0), (Holder, 0)], &[Event::Sent(0, 20)], Some(1)),
    case("one send too many for the batch", &[(Holder, 0), (Holder, 100)], &[Event::Sent(0, 9)], Some(1)),
    case("an ended attempt frees its batch place", &[(Holder, 0), (Holder, 100)], &[Event::Sent(0, 9), Event::Ended(0, AttemptOutcome::Completed)], Some(0)),
    case("sent there before", &[(Idle, 200), (Idle, 0)], &[Event::Sent(0, 1)], Some(0)),
    case("load failed there", &[(Idle, 200), (Idle, 0)], &[Event::Sent(0, 1), refused(Reason::LoadFailed)], Some(1)),
    case("overload counts", &[(Holder, 0), (Holder, 0)], &[refused(Reason::Overloaded)], Some(1)),
    case("stalled behind a peer", PAIR, &[Event::Ended(0, AttemptOutcome::Stalled)], Some(1)),
    case("stalled alone", &[(Holder, 0)], &[Event::Ended(0, AttemptOutcome::Stalled)], Some(0)),
    case("an answer ends the demotion", PAIR, &[ Event::Ended(0, AttemptOutcome::Stalled), Event::Ended(0, AttemptOutcome::Completed), ], Some(0)),
    case("failed behind a peer", PAIR, &[Event::Ended(0, AttemptOutcome::Failed)], Some(1)),
    case("failed alone", &[(Holder, 0)], &[Event::Ended(0, AttemptOutcome::Failed)], Some(0)),
    case("all silent", PAIR, &[Event::Expire(20_000)], Some(0)),
    case("all silent for long", PAIR, &[Event::Expire(200_000)], None),
    Case {
        tried: &[UpstreamIx(0)],
        ..case("tried once", PAIR, &[], Some(1))
    },
    Case {
        tried: &[UpstreamIx(0), UpstreamIx(1)],
        ..case("all tried", PAIR, &[], None)
    },
    Case {
        time_left: Millis(100),
        ..case("certainly too late", &[(Holder, 900)], &[], None)
    },
    Case {
        time_left: Millis(100),
        ..case("possibly in time", &[(Holder, 150)], &[], Some(0))
    },
];

/// Cases where full batches weigh nine times as much as load stalls.
const BATCHING_CASES: &[Case] = &[
    case(
        "busy upstream before an idle home",
        &[(Idle, 0), (Idle, 0), (Busy, 200), (Idle, 0)],
        &[],
        Some(2),
    ),
    case(
        "idle home before a long wait at a busy upstream",
        &[(Idle, 0), (Busy, 800)],
        &[],
        Some(0),
    ),
    case(
        "no preference where most slots are in use",
        &[(BusyFewSlots, 0), (Busy, 100)],
        &[],
        Some(1),
    ),
    case(
        "idle holder before a load at a busy upstream",
        &[(Holder, 0), (Busy, 0)],
        &[],
        Some(0),
    ),
    case(
        "busy holder before an idle holder",
        &[(Holder, 0), (Holder, 100)],
        &[Event::Sent(1, 1)],
        Some(1),
    ),
];
const BATCH_WEIGHTS: ObjectiveWeights = ObjectiveWeights {
    stall: 10,
    batch: 90,
};
const EVEN_WEIGHTS: ObjectiveWeights = ObjectiveWeights {
    stall: 50,
    batch: 50,
};
/// Cases where the affinity holder is preferred, and where it is not.
#[rustfmt::skip]
const PREFIX_CASES: &[Case] = &[
    case("prefix breaks a near tie", &[(Holder, 20), (AffinityHolder, 40)], &[], Some(1)),
    case("prefix does not outweigh a queue", &[(Holder, 0), (AffinityHolder, 80)], &[], Some(0)),
    case("prefix ignored after a restart", &[(Holder, 20), (AffinityHolder, 0)], &[Event::Restarted(1)], Some(0)),
    case("prefix ignored at a full batch", &[(Holder, 20), (FullAffinityHolder, 40)], &[], Some(0)),
    case("prefix ignored where own sends fill the batch", &[(Holder, 20), (AffinityHolder, 30)], &[Event::Sent(1, 8)], Some(0)),
];

fn figures(kind: UpstreamKind, wait: u32) -> UpstreamStatus {
    let load = LoadFigures {
        max_batch_size: 8,
        slots: 4,
        spare_slots: match kind {
            NoFreeSlot => 0,
            BusyFewSlots => 1,
            _ => 2,
        },
        running: match kind {
            Busy | BusyFewSlots => 1,
            FullAffinityHolder => 8,
            _ => 0,
        },
        step_us: 10_000,
        wait_ms: wait,
        ..LoadFigures::default()
    };
    UpstreamStatus {
        load,
        leaving: kind == UpstreamKind::Leaving,
        healthy: kind != UpstreamKind::Unhealthy,
    }
}

fn router(ups: Upstreams, seed: u64) -> Router {
    let options = RouterOptions {
        seed,
        ..RouterOptions::default()
    };
    let mut router = Router::new_ext(options);
    for (ix, &(kind, wait)) in (0..).map(UpstreamIx).zip(ups) {
        let holds = !matches!(kind, Idle | Loader | NoFreeSlot | Busy | BusyFewSlots);
        let resident: &[LoraIx] = if holds { &[LORA] } else { &[] };
        let loading = (kind == Loader).then_some(LORA);
        router.report(
            ix,
            POOL,
            &figures(kind, wait),
            Some(resident),
            loading,
            Millis(0),
        );
    }
    router
}

fn apply(router: &mut Router, event: Event, now: Millis) {
    match event {
        Event::Leaving(up) => router.mark_leaving(UpstreamIx(up)),
        Event::Forget(up) => router.forget(UpstreamIx(up)),
        Event::Sent(up, times) => {
            (0..times).for_each(|_| router.record_send(UpstreamIx(up), Some(LORA), now));
        }
        Event::Ended(up, outcome) => {
            router.record_outcome(UpstreamIx(up), Some(LORA), outcome, now);
        }
        Event::Expire(at) => drop(router.expire(Millis(at))),
        Event::Restarted(up) => {
            let figures = figures(Idle, 0);
            router.report(UpstreamIx(up), POOL, &figures, Some(&[]), None, now);
        }
        Event::Answering(up) => router.record_answer_start(UpstreamIx(up), now),
    }
}

/// Prompt of a conversation whose affinity holder is the given upstream.
fn prompt_for(router: &Router, at: usize) -> PromptAffinity {
    let holder = |hash: &u64| {
        router
            .affinity_holder(POOL, LORA, *hash)
            .map(|up| up.0 as usize)
            == Some(at)
    };
    let hash = (0..1_000)
        .find(holder)
        .expect("a conversation assigned to this holder");
    PromptAffinity {
        conversation_hash: hash,
        ..PROMPT
    }
}

fn chosen(router: &mut Router, query: &RouteQuery<'_>, now: Millis) -> Option<u32> {
    match router.choose(query, now) {
        RouteDecision::Send(selected) => Some(selected.up.0),
        RouteDecision::Refuse { retry_after: retry } => {
            assert!(retry > Millis(0));
            None
        }
    }
}

fn check(case: &Case, weights: ObjectiveWeights, seed: u64) {
    let mut router = router(case.ups, seed);
    router.set_weights(weights);
    let holder = case
        .ups
        .iter()
        .position(|(kind, _)| matches!(kind, AffinityHolder | FullAffinityHolder));
    let prompt = Some(holder.map_or(PROMPT, |at| prompt_for(&router, at)));
    for &event in case.events {
        apply(&mut router, event, Millis(1));
    }
    let query = RouteQuery {
        time_left: case.time_left,
        tried: case.tried,
        prompt,
        ..QUERY
    };
    let chosen_up = chosen(&mut router, &query, Millis(2));
    assert_eq!(chosen_up, case.expected, "{}, seed {seed}", case.name);
}

#[test]
fn choices_at_any_seed() {
    for case in CASES.iter().chain(PREFIX_CASES) {
        (0..SEEDS).for_each(|seed| check(case, EVEN_WEIGHTS, seed));
    }
    for case in BATCHING_CASES {
        (0..SEEDS).for_each(|seed| check(case, BATCH_WEIGHTS, seed));
    }
}

/// Event at a time, and the decision expected after it.
struct Step {
    at: u64,
    event: Option<Event>,
    expected: u32,
}

const fn step(at: u64, event: Option<Event>, expected: u32) -> Step {
    Step {
        at,
        event,
        expected,
    }
}

#[test]
fn a_demotion_lapses_doubles_and_ends() {
    let stalled = Some(Event::Ended(0, AttemptOutcome::Stalled));
    let steps = [
        step(0, stalled, 1),
        step(1_999, None, 1),
        step(2_000, None, 0),
        step(2_000, Some(Event::Sent(0, 1)), 1),
        step(4_000, stalled, 1),
        step(4_500, stalled, 1),
        step(8_499, None, 1),
        step(8_500, None, 0),
        step(8_500, Some(Event::Sent(0, 1)), 1),
        step(8_600, Some(Event::Answering(0)), 0),
        step(9_000, stalled, 1),
        step(11_000, None, 0),
    ];
    let mut router = router(PAIR, 0);
    for Step {
        at,
        event,
        expected,
    } in steps
    {
        if let Some(event) = event {
            apply(&mut router, event, Millis(at));
        }
        assert_eq!(
            chosen(&mut router, &QUERY, Millis(at)),
            Some(expected),
            "at {at}"
        );
    }
}

#[test]
fn a_plain_service_takes_the_less_busy_of_two() {
    let mut router = router(&[(Idle, 50), (Idle, 0)], 0);
    let query = RouteQuery {
        lora: None,
        ..QUERY
    };
    for _ in 0..20 {
        assert_eq!(chosen(&mut router, &query, Millis(1)), Some(1));
    }
}
