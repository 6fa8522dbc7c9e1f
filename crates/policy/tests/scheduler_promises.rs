//! Invariants of the scheduler under any order of events, checked against a simple engine model.
//!
//! - An unload is never ordered for an adapter with a request in flight.
//! - Each accepted request is either sent, refused or cancelled, exactly once.
//! - A request is sent only if its adapter is resident and the batch has room.
//! - No more adapters are loaded than there are slots, and at most one load and one bid are in
//!   progress at a time.

mod scheduler;

use proptest::prelude::*;
use pumicecleat_policy::LoadOutcome;
use pumicecleat_types::{Millis, Reason};

use scheduler::engine::{Engine, LORAS};

/// Time in which every request has left the queue once all events succeed, in milliseconds.
const SETTLE_MS: u64 = 200_000;

#[derive(Clone, Debug)]
enum Event {
    Submit {
        lora: u32,
        caller: u32,
        time_left: u64,
        tokens: u32,
    },
    Advance(u64),
    Finish {
        nth: usize,
        whole: bool,
    },
    Cancel(usize),
    GrantTurn(u64),
    DeferTurn(u64),
    LeaveBidUnanswered(u64),
    EndLoad(LoadOutcome),
    EndUnload(bool),
    Reset {
        resident: u32,
        unaccounted: u32,
    },
    FinishUnaccounted,
    Close,
    Reopen,
}

fn event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        3 => Just(LoadOutcome::Done),
        1 => Just(LoadOutcome::Failed),
        1 => (1..2_000_u64).prop_map(|ms| LoadOutcome::Busy { retry_after: Millis(ms) }),
    ];
    prop_oneof![
        8 => (0..=LORAS, 0..4_u32, 100..60_000_u64, 1..400_u32).prop_map(
            |(lora, caller, time_left, tokens)| Event::Submit { lora, caller, time_left, tokens }
        ),
        4 => (1..3_000_u64).prop_map(Event::Advance),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(nth, whole)| Event::Finish { nth, whole }),
        1 => any::<usize>().prop_map(Event::Cancel),
        4 => (1..4_000_u64).prop_map(Event::GrantTurn),
        1 => (1..300_u64).prop_map(Event::DeferTurn),
        1 => any::<u64>().prop_map(Event::LeaveBidUnanswered),
        4 => outcome.prop_map(Event::EndLoad),
        4 => prop::bool::weighted(0.9).prop_map(Event::EndUnload),
        1 => (0..LORAS, 0..LORAS).prop_map(
            |(resident, unaccounted)| Event::Reset { resident, unaccounted }
        ),
        1 => Just(Event::FinishUnaccounted),
        1 => Just(Event::Close),
        1 => Just(Event::Reopen),
    ]
}

fn apply(engine: &mut Engine, event: &Event) {
    match *event {
        Event::Submit {
            lora,
            caller,
            time_left,
            tokens,
        } => engine.submit(lora, caller, time_left, tokens),
        Event::Advance(ms) => engine.advance(ms),
        Event::Finish { nth, whole } => engine.finish(nth, whole),
        Event::Cancel(nth) => engine.cancel(nth),
        Event::GrantTurn(ttl_ms) => engine.grant_turn(ttl_ms),
        Event::DeferTurn(again_ms) => engine.defer_turn(again_ms),
        Event::LeaveBidUnanswered(roll) => engine.leave_bid_unanswered(roll),
        Event::EndLoad(outcome) => engine.end_load(outcome),
        Event::EndUnload(gone) => engine.end_unload(gone),
        Event::Reset {
            resident,
            unaccounted,
        } => engine.reset(resident, unaccounted),
        Event::FinishUnaccounted => engine.finish_unaccounted(),
        Event::Close => engine.scheduler.close(Reason::Leaving),
        Event::Reopen => engine.scheduler.reopen(),
    }
    engine.poll();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn invariants_hold_for_any_events(
        slots in 1..4_u32,
        batch in 1..4_u32,
        weight in 0..=100_u32,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut engine = Engine::new(slots, batch, weight);
        for event in &events {
            apply(&mut engine, event);
        }
        engine.settle(SETTLE_MS);
        prop_assert!(engine.waiting.is_empty(), "still waiting: {:?}", engine.waiting);
    }
}
