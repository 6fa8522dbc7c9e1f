//! Exhaustive model check of the real [`Ledger`](pumicecleat_ledger::Ledger) with two sides, a log,
//! an upstream that counts effects, and callers that retry through either side.
//!
//! `PUMICECLEAT_DEEP=1` searches larger bounds. docs/AT-MOST-ONCE.md defines the invariants.

mod check;
mod log;
mod moves;
mod reopen;
mod search;
mod side;
mod state;

use std::time::Instant;

use search::{Report, explore};
use state::{
    Budget, CallSpec, MOST_OF_WINDOW, Mutation, PAST_DEADLINE, PAST_RETENTION, Scenario, State,
};

const BODY_0: CallSpec = CallSpec { body: 0 };
const BODY_1: CallSpec = CallSpec { body: 1 };
const ONE_CALL: &[CallSpec] = &[BODY_0];
const TWO_CALLS: &[CallSpec] = &[BODY_0, BODY_0];
const TWO_BODIES: &[CallSpec] = &[BODY_0, BODY_1];
const THREE_CALLS: &[CallSpec] = &[BODY_0, BODY_0, BODY_1];

struct Bound {
    name: &'static str,
    calls: &'static [CallSpec],
    budget: Budget,
}

const fn bound(name: &'static str, calls: &'static [CallSpec], budget: Budget) -> Bound {
    Bound {
        name,
        calls,
        budget,
    }
}

const BOUNDS: &[Bound] = &[
    bound(
        "other body",
        TWO_BODIES,
        Budget {
            outages: 1,
            ..Budget::NONE
        },
    ),
    bound(
        "lost response, crash",
        TWO_CALLS,
        Budget::CRASH.lost_responses(1),
    ),
    bound(
        "lost reply, crash",
        TWO_CALLS,
        Budget::LOST_REPLY.crashes(1),
    ),
    bound(
        "deadline",
        TWO_BODIES,
        Budget::NONE.clock_steps(&[PAST_DEADLINE]),
    ),
    bound(
        "late start after a trim",
        TWO_CALLS,
        Budget::CRASH.clock_steps(&[PAST_RETENTION]).trims(1),
    ),
    bound(
        "trim within a window",
        TWO_CALLS,
        Budget::NONE
            .clock_steps(&[MOST_OF_WINDOW, PAST_DEADLINE])
            .trims(1),
    ),
    bound(
        "failed send, lost response",
        TWO_CALLS,
        Budget {
            failed_sends: 1,
            ..Budget::LOST_RESPONSE
        },
    ),
    bound("two closings", TWO_BODIES, Budget::NONE.closes(2)),
    bound(
        "closing, lost reply",
        TWO_CALLS,
        Budget::LOST_REPLY.closes(1),
    ),
    bound(
        "closing, trim within a window",
        TWO_CALLS,
        Budget::CLOSE
            .clock_steps(&[MOST_OF_WINDOW, PAST_DEADLINE])
            .trims(1),
    ),
    bound("three calls", THREE_CALLS, Budget::NONE),
];

const DEEP: &[Bound] = &[
    bound(
        "two closings, lost reply, crash",
        TWO_CALLS,
        Budget::LOST_REPLY.crashes(1).closes(2),
    ),
    bound(
        "two lost replies",
        TWO_CALLS,
        Budget {
            lost_replies: 2,
            ..Budget::NONE
        },
    ),
    bound(
        "lost reply and response, crash",
        TWO_CALLS,
        Budget::LOST_REPLY.crashes(1).lost_responses(1),
    ),
    bound(
        "two crashes",
        TWO_CALLS,
        Budget::LOST_REPLY.crashes(2).lost_responses(1),
    ),
    bound(
        "crash, trim within a window",
        TWO_CALLS,
        Budget::CRASH
            .clock_steps(&[MOST_OF_WINDOW, PAST_DEADLINE])
            .trims(1),
    ),
    bound("three calls, crash", THREE_CALLS, Budget::CRASH),
    bound(
        "three calls, lost reply",
        &[BODY_0, BODY_0, BODY_0],
        Budget::LOST_REPLY,
    ),
    bound(
        "three calls, trim within a window",
        &[BODY_0, BODY_0, BODY_0],
        Budget::NONE
            .clock_steps(&[MOST_OF_WINDOW, PAST_DEADLINE])
            .trims(1),
    ),
];

fn run(bound: &Bound) -> Report {
    let scenario = Scenario {
        calls: bound.calls,
        mutation: Mutation::None,
        only_invariant: None,
    };
    explore(State::new(&scenario, bound.budget))
}

fn search_all(bounds: &[Bound]) {
    for bound in bounds {
        let start = Instant::now();
        let report = run(bound);
        println!("{}: {report}, {:.1?}", bound.name, start.elapsed());
        assert!(report.violation.is_none(), "{}: {report}", bound.name);
    }
}

#[test]
fn invariants_hold_in_every_state() {
    search_all(BOUNDS);
}

#[test]
fn invariants_hold_in_larger_bounds() {
    if std::env::var_os("PUMICECLEAT_DEEP").is_none() {
        println!("not run: set PUMICECLEAT_DEEP=1");
        return;
    }
    search_all(DEEP);
}

struct Mutant {
    mutation: Mutation,
    invariant: &'static str,
    calls: &'static [CallSpec],
    budget: Budget,
}

const fn mutant(
    mutation: Mutation,
    invariant: &'static str,
    calls: &'static [CallSpec],
    budget: Budget,
) -> Mutant {
    Mutant {
        mutation,
        invariant,
        calls,
        budget,
    }
}

const MUTANTS: &[Mutant] = &[
    mutant(Mutation::SendBeforeReadBack, "I1", TWO_CALLS, Budget::NONE),
    mutant(Mutation::ResendAfterRestart, "I1", ONE_CALL, Budget::CRASH),
    mutant(Mutation::ReadFromEnd, "I1", TWO_CALLS, Budget::CRASH),
    mutant(
        Mutation::ShortWindow,
        "I1",
        TWO_CALLS,
        Budget::NONE.clock_steps(&[PAST_DEADLINE]),
    ),
    mutant(
        Mutation::ShortRetention,
        "I1",
        TWO_CALLS,
        Budget::CRASH.clock_steps(&[PAST_DEADLINE]).trims(1),
    ),
    mutant(
        Mutation::AbandonForeign,
        "I1",
        TWO_CALLS,
        Budget::NONE.clock_steps(&[PAST_DEADLINE]),
    ),
    mutant(
        Mutation::AbandonForeign,
        "I5",
        TWO_CALLS,
        Budget::NONE.clock_steps(&[PAST_DEADLINE]),
    ),
    mutant(
        Mutation::SendAfterDeadline,
        "I1",
        TWO_CALLS,
        Budget::NONE.clock_steps(&[PAST_RETENTION]),
    ),
    mutant(
        Mutation::DenyOnLostReply,
        "I2",
        ONE_CALL,
        Budget::LOST_REPLY,
    ),
    mutant(Mutation::DenyOnCrash, "I2", ONE_CALL, Budget::CRASH),
    mutant(Mutation::DenySent, "I2", ONE_CALL, Budget::NONE),
    mutant(
        Mutation::RevertRealSend,
        "I2",
        ONE_CALL,
        Budget {
            failed_sends: 1,
            ..Budget::NONE
        },
    ),
    mutant(
        Mutation::InventResponse,
        "I3",
        TWO_CALLS,
        Budget::LOST_RESPONSE,
    ),
    mutant(Mutation::DigestWithoutBody, "I4", TWO_BODIES, Budget::NONE),
    mutant(Mutation::NeverAbandon, "L1", ONE_CALL, Budget::LOST_REPLY),
    mutant(Mutation::ReadFromEnd, "I1", TWO_CALLS, Budget::CLOSE),
    mutant(Mutation::CloseWithOpenCalls, "I2", ONE_CALL, Budget::CLOSE),
    mutant(
        Mutation::ReopenAsSameOwner,
        "I4",
        TWO_BODIES,
        Budget::LOST_REPLY.closes(1),
    ),
    mutant(
        Mutation::CloseWithPendingRecords,
        "L2",
        ONE_CALL,
        Budget::CLOSE,
    ),
    mutant(Mutation::CloseBeforeReadBack, "L2", ONE_CALL, Budget::CLOSE),
    mutant(Mutation::DropPendingRecords, "L2", TWO_CALLS, Budget::NONE),
];

#[test]
fn every_mutant_is_found() {
    for m in MUTANTS {
        let scenario = Scenario {
            calls: m.calls,
            mutation: m.mutation,
            only_invariant: Some(m.invariant),
        };
        let report = explore(State::new(&scenario, m.budget));
        let violation = report.violation.as_ref();
        let violation = violation.unwrap_or_else(|| panic!("{:?} not found: {report}", m.mutation));
        println!(
            "{:?}: {} after {} moves: {:?}",
            m.mutation,
            violation.invariant,
            violation.trace.len(),
            violation.trace
        );
        assert_eq!(
            violation.invariant, m.invariant,
            "{:?}: {report}",
            m.mutation
        );
    }
}

#[test]
fn mutants_bounds_hold_without_the_mutant() {
    for m in MUTANTS {
        let scenario = Scenario {
            calls: m.calls,
            mutation: Mutation::None,
            only_invariant: None,
        };
        let report = explore(State::new(&scenario, m.budget));
        println!("bounds of {:?}: {report}", m.mutation);
        assert!(
            report.violation.is_none(),
            "bounds of {:?}: {report}",
            m.mutation
        );
    }
}
