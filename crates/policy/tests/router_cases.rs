//! Cases of the router, each a few upstreams and the choice expected.

use pumicecleat_policy::{
    Ask, Choice, LoraIx, ObjectiveWeights, Outcome, PoolIx, Prompt, Router, RouterOptions,
    UpstreamFigures, UpstreamIx,
};
use pumicecleat_types::{LoadFigures, Millis, Reason};

const POOL: PoolIx = PoolIx(0);
const LORA: LoraIx = LoraIx(7);
/// Its earlier turns and what a meeting place is worth beside make 50 ms.
const PROMPT: Prompt = Prompt {
    root: 99,
    earlier: 800,
};
/// Seeds of the draws that break ties.
const SEEDS: u64 = 16;
const AMPLE: Millis = Millis(60_000);
const ASK: Ask<'_> = Ask {
    pool: POOL,
    lora: Some(LORA),
    prompt: Some(PROMPT),
    left: AMPLE,
    tried: &[],
};

/// How an upstream of a case stands to the adapter, and what is wrong with it.
#[derive(Clone, Copy, PartialEq)]
enum Is {
    Idle,
    Holder,
    Loader,
    /// Holder at which the conversation meets.
    Meets,
    /// The same with a full batch.
    Brimful,
    Full,
    Stepping,
    Crowded,
    Leaving,
    Sick,
}
use Is::{Brimful, Crowded, Full, Holder, Idle, Loader, Meets, Stepping};

/// What happens after the reports.
#[derive(Clone, Copy)]
enum Then {
    Leaving(u32),
    Forget(u32),
    Sent(u32, usize),
    Ended(u32, Outcome),
    Expire(u64),
    Restarted(u32),
    Answering(u32),
}

struct Case {
    name: &'static str,
    /// Upstreams with their queues, milliseconds.
    ups: &'static [(Is, u32)],
    then: &'static [Then],
    tried: &'static [UpstreamIx],
    left: Millis,
    want: Option<u32>,
}

type Ups = &'static [(Is, u32)];
const PAIR: Ups = &[(Holder, 0), (Idle, 0)];

const fn case(name: &'static str, ups: Ups, then: &'static [Then], want: Option<u32>) -> Case {
    Case {
        name,
        ups,
        then,
        tried: &[],
        left: AMPLE,
        want,
    }
}

const fn refused(reason: Reason) -> Then {
    Then::Ended(0, Outcome::Refused(reason, None))
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    case("no upstream", &[], &[], None),
    case("holder before idle", &[(Idle, 0), (Holder, 0), (Idle, 0)], &[], Some(1)),
    case("less busy holder", &[(Holder, 90), (Holder, 0), (Idle, 0)], &[], Some(1)),
    case("loader before idle", &[(Idle, 0), (Idle, 0), (Loader, 0)], &[], Some(2)),
    case("short queue: no copy", &[(Holder, 600), (Idle, 0)], &[], Some(0)),
    case("long queue: a copy", &[(Holder, 900), (Idle, 0)], &[], Some(1)),
    case("no copy without a slot", &[(Holder, 900), (Full, 0)], &[], Some(0)),
    case("leaving by report", &[(Is::Leaving, 0), (Idle, 0)], &[], Some(1)),
    case("leaving by the list", PAIR, &[Then::Leaving(0)], Some(1)),
    case("leaving by refusal", PAIR, &[refused(Reason::Leaving)], Some(1)),
    case("all leaving", PAIR, &[Then::Leaving(0), Then::Leaving(1)], None),
    case("sick by report", &[(Is::Sick, 0), (Idle, 0)], &[], Some(1)),
    case("sick by refusal", PAIR, &[refused(Reason::UpstreamDown)], Some(1)),
    case("forgotten", PAIR, &[Then::Forget(0)], Some(1)),
    case("own sends count", &[(Holder, 0), (Holder, 0)], &[Then::Sent(0, 20)], Some(1)),
    case("one send too many for the batch", &[(Holder, 0), (Holder, 100)], &[Then::Sent(0, 9)], Some(1)),
    case("an end gives its place back", &[(Holder, 0), (Holder, 100)], &[Then::Sent(0, 9), Then::Ended(0, Outcome::Whole)], Some(0)),
    case("sent there before", &[(Idle, 200), (Idle, 0)], &[Then::Sent(0, 1)], Some(0)),
    case("load failed there", &[(Idle, 200), (Idle, 0)], &[Then::Sent(0, 1), refused(Reason::LoadFailed)], Some(1)),
    case("overload counts", &[(Holder, 0), (Holder, 0)], &[refused(Reason::Overloaded)], Some(1)),
    case("stalled behind a peer", PAIR, &[Then::Ended(0, Outcome::Stalled)], Some(1)),
    case("stalled alone", &[(Holder, 0)], &[Then::Ended(0, Outcome::Stalled)], Some(0)),
    case("an answer ends the demotion", PAIR, &[ Then::Ended(0, Outcome::Stalled), Then::Ended(0, Outcome::Whole), ], Some(0)),
    case("failed behind a peer", PAIR, &[Then::Ended(0, Outcome::Failed)], Some(1)),
    case("failed alone", &[(Holder, 0)], &[Then::Ended(0, Outcome::Failed)], Some(0)),
    case("all silent", PAIR, &[Then::Expire(20_000)], Some(0)),
    case("all silent for long", PAIR, &[Then::Expire(200_000)], None),
    Case {
        tried: &[UpstreamIx(0)],
        ..case("tried once", PAIR, &[], Some(1))
    },
    Case {
        tried: &[UpstreamIx(0), UpstreamIx(1)],
        ..case("all tried", PAIR, &[], None)
    },
    Case {
        left: Millis(100),
        ..case("surely too late", &[(Holder, 900)], &[], None)
    },
    Case {
        left: Millis(100),
        ..case("perhaps in time", &[(Holder, 150)], &[], Some(0))
    },
];

/// The same where full batches weigh nine times as much as stalls.
const PACKED: &[Case] = &[
    case(
        "company before an idle home",
        &[(Idle, 0), (Idle, 0), (Stepping, 200), (Idle, 0)],
        &[],
        Some(2),
    ),
    case(
        "company at a price",
        &[(Idle, 0), (Stepping, 800)],
        &[],
        Some(0),
    ),
    case(
        "no company among slots in use",
        &[(Crowded, 0), (Stepping, 100)],
        &[],
        Some(1),
    ),
    case(
        "an idle holder before a load with company",
        &[(Holder, 0), (Stepping, 0)],
        &[],
        Some(0),
    ),
    case(
        "the holder with company",
        &[(Holder, 0), (Holder, 100)],
        &[Then::Sent(1, 1)],
        Some(1),
    ),
];
const BATCHES: ObjectiveWeights = ObjectiveWeights {
    stall: 10,
    batch: 90,
};
const EVEN: ObjectiveWeights = ObjectiveWeights {
    stall: 50,
    batch: 50,
};
/// What the place where a conversation meets is worth, and where it is worth nothing.
#[rustfmt::skip]
const PROMPTS: &[Case] = &[
    case("prefix breaks a near tie", &[(Holder, 20), (Meets, 40)], &[], Some(1)),
    case("prefix outweighs no queue", &[(Holder, 0), (Meets, 80)], &[], Some(0)),
    case("counts for nothing after a restart", &[(Holder, 20), (Meets, 0)], &[Then::Restarted(1)], Some(0)),
    case("crowds no full batch", &[(Holder, 20), (Brimful, 40)], &[], Some(0)),
    case("crowds no batch that own sends fill", &[(Holder, 20), (Meets, 30)], &[Then::Sent(1, 8)], Some(0)),
];

fn figures(is: Is, wait: u32) -> UpstreamFigures {
    let load = LoadFigures {
        batch: 8,
        slots: 4,
        spare: match is {
            Full => 0,
            Crowded => 1,
            _ => 2,
        },
        running: match is {
            Stepping | Crowded => 1,
            Brimful => 8,
            _ => 0,
        },
        step_us: 10_000,
        wait_ms: wait,
        ..LoadFigures::default()
    };
    UpstreamFigures {
        load,
        leaving: is == Is::Leaving,
        healthy: is != Is::Sick,
    }
}

fn router(ups: Ups, seed: u64) -> Router {
    let options = RouterOptions {
        seed,
        ..RouterOptions::default()
    };
    let mut router = Router::new_ext(options);
    for (ix, &(is, wait)) in (0..).map(UpstreamIx).zip(ups) {
        let holds = !matches!(is, Idle | Loader | Full | Stepping | Crowded);
        let resident: &[LoraIx] = if holds { &[LORA] } else { &[] };
        let loading = (is == Loader).then_some(LORA);
        router.report(
            ix,
            POOL,
            &figures(is, wait),
            Some(resident),
            loading,
            Millis(0),
        );
    }
    router
}

fn apply(router: &mut Router, then: Then, now: Millis) {
    match then {
        Then::Leaving(up) => router.leaving(UpstreamIx(up)),
        Then::Forget(up) => router.forget(UpstreamIx(up)),
        Then::Sent(up, times) => {
            (0..times).for_each(|_| router.sent(UpstreamIx(up), Some(LORA), now));
        }
        Then::Ended(up, outcome) => router.ended(UpstreamIx(up), Some(LORA), outcome, now),
        Then::Expire(at) => drop(router.expire(Millis(at))),
        Then::Restarted(up) => {
            let figures = figures(Idle, 0);
            router.report(UpstreamIx(up), POOL, &figures, Some(&[]), None, now);
        }
        Then::Answering(up) => router.answering(UpstreamIx(up), now),
    }
}

/// Prompt of a conversation that meets at an upstream.
fn prompt_for(router: &Router, at: usize) -> Prompt {
    let meets = |root: &u64| router.meeting(POOL, LORA, *root).map(|up| up.0 as usize) == Some(at);
    let root = (0..1_000)
        .find(meets)
        .expect("a conversation that meets there");
    Prompt { root, ..PROMPT }
}

fn chosen(router: &mut Router, ask: &Ask<'_>, now: Millis) -> Option<u32> {
    match router.choose(ask, now) {
        Choice::Send(pick) => Some(pick.up.0),
        Choice::Refuse { retry } => {
            assert!(retry > Millis(0));
            None
        }
    }
}

fn check(case: &Case, weights: ObjectiveWeights, seed: u64) {
    let mut router = router(case.ups, seed);
    router.set_weights(weights);
    let meets = case
        .ups
        .iter()
        .position(|(is, _)| matches!(is, Meets | Brimful));
    let prompt = Some(meets.map_or(PROMPT, |at| prompt_for(&router, at)));
    for &then in case.then {
        apply(&mut router, then, Millis(1));
    }
    let ask = Ask {
        left: case.left,
        tried: case.tried,
        prompt,
        ..ASK
    };
    let got = chosen(&mut router, &ask, Millis(2));
    assert_eq!(got, case.want, "{}, seed {seed}", case.name);
}

#[test]
fn choices_at_any_seed() {
    for case in CASES.iter().chain(PROMPTS) {
        (0..SEEDS).for_each(|seed| check(case, EVEN, seed));
    }
    for case in PACKED {
        (0..SEEDS).for_each(|seed| check(case, BATCHES, seed));
    }
}

/// What happens at a time, and the choice expected after it.
struct Step {
    at: u64,
    then: Option<Then>,
    want: u32,
}

const fn step(at: u64, then: Option<Then>, want: u32) -> Step {
    Step { at, then, want }
}

#[test]
fn a_demotion_lapses_doubles_and_ends() {
    let stalled = Some(Then::Ended(0, Outcome::Stalled));
    let steps = [
        step(0, stalled, 1),
        step(1_999, None, 1),
        step(2_000, None, 0),
        step(2_000, Some(Then::Sent(0, 1)), 1),
        step(4_000, stalled, 1),
        step(4_500, stalled, 1),
        step(8_499, None, 1),
        step(8_500, None, 0),
        step(8_500, Some(Then::Sent(0, 1)), 1),
        step(8_600, Some(Then::Answering(0)), 0),
        step(9_000, stalled, 1),
        step(11_000, None, 0),
    ];
    let mut router = router(PAIR, 0);
    for Step { at, then, want } in steps {
        if let Some(then) = then {
            apply(&mut router, then, Millis(at));
        }
        assert_eq!(chosen(&mut router, &ASK, Millis(at)), Some(want), "at {at}");
    }
}

#[test]
fn a_plain_service_takes_the_less_busy_of_two() {
    let mut router = router(&[(Idle, 50), (Idle, 0)], 0);
    let ask = Ask { lora: None, ..ASK };
    for _ in 0..20 {
        assert_eq!(chosen(&mut router, &ask, Millis(1)), Some(1));
    }
}
