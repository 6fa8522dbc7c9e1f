//! What a scheduler promises under any order of events, checked against a plain model of its engine.
//!
//! - An adapter with a request in flight is never ordered to be unloaded.
//! - Each request taken in ends in exactly one of sent, refused and cancelled.
//! - A request is sent only to a resident adapter and only while the batch has room.
//! - Slots are never overfull, and at most one load and one bid are out at a time.

mod scheduler;

use proptest::prelude::*;
use pumicecleat_policy::LoadOutcome;
use pumicecleat_types::{Millis, Reason};

use scheduler::engine::{Engine, LORAS};

/// Time that every request needs at most, once events go well.
const ENOUGH: u64 = 200_000;

#[derive(Clone, Debug)]
enum Event {
    Submit {
        lora: u32,
        caller: u32,
        span: u64,
        tokens: u32,
    },
    Pass(u64),
    Finish {
        nth: usize,
        whole: bool,
    },
    Cancel(usize),
    Go(u64),
    Wait(u64),
    Silence(u64),
    Loaded(LoadOutcome),
    Unloaded(bool),
    Reset {
        resident: u32,
        unaccounted: u32,
    },
    Release,
    Close,
    Reopen,
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        3 => Just(LoadOutcome::Done),
        1 => Just(LoadOutcome::Failed),
        1 => (1..2_000_u64).prop_map(|ms| LoadOutcome::Busy { retry_after: Millis(ms) }),
    ];
    prop_oneof![
        8 => (0..=LORAS, 0..4_u32, 100..60_000_u64, 1..400_u32).prop_map(
            |(lora, caller, span, tokens)| Event::Submit { lora, caller, span, tokens }
        ),
        4 => (1..3_000_u64).prop_map(Event::Pass),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(nth, whole)| Event::Finish { nth, whole }),
        1 => any::<usize>().prop_map(Event::Cancel),
        4 => (1..4_000_u64).prop_map(Event::Go),
        1 => (1..300_u64).prop_map(Event::Wait),
        1 => any::<u64>().prop_map(Event::Silence),
        4 => end.prop_map(Event::Loaded),
        4 => prop::bool::weighted(0.9).prop_map(Event::Unloaded),
        1 => (0..LORAS, 0..LORAS).prop_map(
            |(resident, unaccounted)| Event::Reset { resident, unaccounted }
        ),
        1 => Just(Event::Release),
        1 => Just(Event::Close),
        1 => Just(Event::Reopen),
    ]
}

fn apply(engine: &mut Engine, event: &Event) {
    match *event {
        Event::Submit {
            lora,
            caller,
            span,
            tokens,
        } => engine.submit(lora, caller, span, tokens),
        Event::Pass(ms) => engine.pass(ms),
        Event::Finish { nth, whole } => engine.finish(nth, whole),
        Event::Cancel(nth) => engine.cancel(nth),
        Event::Go(ttl) => engine.go(ttl),
        Event::Wait(again) => engine.wait(again),
        Event::Silence(roll) => engine.silence(roll),
        Event::Loaded(end) => engine.loaded(end),
        Event::Unloaded(gone) => engine.unloaded(gone),
        Event::Reset {
            resident,
            unaccounted,
        } => engine.reset(resident, unaccounted),
        Event::Release => engine.release(),
        Event::Close => engine.side.close(Reason::Leaving),
        Event::Reopen => engine.side.reopen(),
    }
    engine.poll();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn keeps_its_promises(
        slots in 1..4_u32,
        batch in 1..4_u32,
        weight in 0..=100_u32,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut engine = Engine::new(slots, batch, weight);
        for event in &events {
            apply(&mut engine, event);
        }
        engine.settle(ENOUGH);
        prop_assert!(engine.waiting.is_empty(), "left waiting: {:?}", engine.waiting);
    }
}
