//! Exhaustive state search of the real [`Fold`](pumicecleat_config::Fold) in a small model: racing
//! operators, readers that pause and start late, and a log that is trimmed and fails.
//!
//! `PUMICECLEAT_DEEP=1` searches larger bounds. docs/CONFIGURATION-MODEL.md names the invariants.

mod check;
mod moves;
mod reader;
mod search;
mod world;

use std::time::Instant;

use search::explore;
use world::{Budget, Defect, World};

struct Bound {
    name: &'static str,
    readers: usize,
    budget: Budget,
}

const NONE: Budget = Budget {
    changes: [1, 1],
    losses: 0,
    snapshots: 0,
    garbage: 0,
    outages: 0,
    trims: 0,
};
const LOSS: Budget = Budget { losses: 1, ..NONE };
const SNAPSHOT: Budget = Budget {
    snapshots: 1,
    ..NONE
};
const TRIM: Budget = Budget { trims: 1, ..NONE };
const KEPT: Budget = Budget {
    snapshots: 1,
    ..TRIM
};

#[rustfmt::skip]
const BOUNDS: &[Bound] = &[
    Bound { name: "two lost replies", readers: 2, budget: Budget { losses: 2, ..NONE } },
    Bound { name: "late start", readers: 3, budget: KEPT },
    Bound { name: "lost reply, trim", readers: 2, budget: Budget { losses: 1, ..TRIM } },
    Bound { name: "one change, garbage, outage", readers: 2, budget: Budget { changes: [1, 0], garbage: 1, outages: 1, ..KEPT } },
    Bound { name: "garbage, trim", readers: 2, budget: Budget { garbage: 1, ..TRIM } },
    Bound { name: "outage, snapshot, trim", readers: 2, budget: Budget { outages: 1, ..KEPT } },
    Bound { name: "three changes", readers: 2, budget: Budget { changes: [2, 1], ..TRIM } },
];

#[rustfmt::skip]
const DEEP: &[Bound] = &[
    Bound { name: "lost reply, snapshot, trim", readers: 2, budget: Budget { losses: 1, ..KEPT } },
    Bound { name: "garbage, snapshot, trim", readers: 2, budget: Budget { garbage: 1, ..KEPT } },
    Bound { name: "three changes, snapshot", readers: 2, budget: Budget { changes: [2, 1], ..KEPT } },
    Bound { name: "late start, lost reply", readers: 3, budget: Budget { losses: 1, ..TRIM } },
    Bound { name: "late start, outage", readers: 3, budget: Budget { outages: 1, ..KEPT } },
];

fn run(name: &str, world: World) {
    let start = Instant::now();
    let report = explore(world);
    println!("{name}: {report}, {:.1?}", start.elapsed());
    assert_eq!(report.violation, None, "{name}");
}

fn search_all(bounds: &[Bound]) {
    for bound in bounds {
        run(bound.name, World::new(bound.readers, bound.budget));
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
    defect: Defect,
    violates: &'static str,
    budget: Budget,
}

#[rustfmt::skip]
const MUTANTS: &[Mutant] = &[
    Mutant { defect: Defect::TakeSnapshots, violates: "C1", budget: SNAPSHOT },
    Mutant { defect: Defect::SkipGap, violates: "C2", budget: TRIM },
    Mutant { defect: Defect::AnyBase, violates: "C3", budget: NONE },
    Mutant { defect: Defect::ForgetVerdicts, violates: "C4", budget: LOSS },
    Mutant { defect: Defect::Renew, violates: "C4", budget: LOSS },
    Mutant { defect: Defect::GuessEmpty, violates: "C5", budget: TRIM },
    Mutant { defect: Defect::WakeAtEnd, violates: "C6", budget: NONE },
    Mutant { defect: Defect::AskNone, violates: "L1", budget: TRIM },
    Mutant { defect: Defect::GiveUp, violates: "L1", budget: LOSS },
];

#[test]
fn every_mutant_is_found() {
    for m in MUTANTS {
        let world = World {
            defect: m.defect,
            only: Some(m.violates),
            ..World::new(2, m.budget)
        };
        let report = explore(world);
        let Some((rule, trace)) = report.violation else {
            panic!("{:?} not found", m.defect);
        };
        println!(
            "{:?}: {rule} after {} moves: {trace:?}",
            m.defect,
            trace.len()
        );
        assert_eq!(rule, m.violates, "{:?}", m.defect);
    }
}

#[test]
fn mutants_bounds_hold_without_the_mutant() {
    for m in MUTANTS {
        run(
            &format!("bounds of {:?}", m.defect),
            World::new(2, m.budget),
        );
    }
}
