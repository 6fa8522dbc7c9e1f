//! Differential test of the fold against a naive one, for all kinds of readers, with mutants of
//! both.

mod naive;
mod reader;
mod world;

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use pumicecleat_config::{Fold, FoldEvent, Record};
use pumicecleat_types::LogRecord;

use naive::{Naive, Rule};
use reader::{Reader, ReaderKind};
use world::{World, build, ops};

/// Random logs per mutant; at least one must detect it.
const LOGS_PER_MUTANT: usize = 200;

/// Naive state after as many records as the reader has applied.
fn expected_state<'w>(world: &'w World, reader: &Reader) -> &'w Naive {
    let count = usize::try_from(reader.fold.next()).unwrap();
    &world.states[count]
}

proptest! {
    #[test]
    fn in_order(ops in ops()) {
        let world = build(&ops);
        let mut reader = Reader::new(ReaderKind::Correct);
        let mut scanned = Reader::new(ReaderKind::Scanned);
        let mut relayed = Reader::new(ReaderKind::Correct);
        for (record, naive) in world.log.iter().zip(&world.states[1..]) {
            let event = reader.apply(record).unwrap();
            prop_assert_eq!(reader.difference(naive), None);
            prop_assert_eq!(scanned.apply(record).unwrap(), event.clone());
            prop_assert_eq!(scanned.difference(naive), None);
            let mut record = record.clone();
            if event == FoldEvent::Confirmed {
                record.data = reader.fold.checked_record(record.offset);
            }
            prop_assert_eq!(relayed.apply(&record).unwrap(), event);
            prop_assert_eq!(relayed.difference(naive), None);
        }
    }

    #[test]
    fn with_repeats(ops in ops(), order in prop::collection::vec(any::<Index>(), 0..80)) {
        let world = build(&ops);
        let mut reader = Reader::new(ReaderKind::Correct);
        for index in &order {
            // A gap is an error and changes nothing, unless a snapshot record covers it.
            let _ = reader.apply(index.get(&world.log));
            prop_assert_eq!(reader.difference(expected_state(&world, &reader)), None);
        }
        reader.read(&world.log, 0);
        prop_assert_eq!(reader.difference(world.states.last().unwrap()), None);
    }

    #[test]
    fn late_on_trimmed_log(ops in ops(), first in any::<Index>()) {
        let world = build(&ops);
        let mut reader = Reader::new(ReaderKind::Correct);
        reader.read(&world.log, first.index(world.log.len()));
        // It may have found no snapshot to start from, or have stopped at a gap.
        prop_assert_eq!(reader.difference(expected_state(&world, &reader)), None);
    }

    #[test]
    fn from_peer(ops in ops(), ahead in any::<Index>(), behind in any::<Index>()) {
        let world = build(&ops);
        let log = &world.log;
        let mut peer = Reader::new(ReaderKind::Correct);
        peer.read(&log[..ahead.index(log.len())], 0);
        let mut reader = Reader::new(ReaderKind::Correct);
        reader.read(&log[..behind.index(log.len())], 0);
        let newer = peer.fold.next() > reader.fold.next();
        let furthest = peer.fold.next().max(reader.fold.next());
        let adopted = reader.fold.adopt_snapshot(&peer.fold.snapshot_bytes()).unwrap();
        prop_assert_eq!(adopted, newer);
        prop_assert_eq!(reader.fold.next(), furthest);
        prop_assert_eq!(reader.difference(expected_state(&world, &reader)), None);
        reader.read(log, 0);
        prop_assert_eq!(reader.difference(world.states.last().unwrap()), None);
        let copy = Fold::from_snapshot(&reader.fold.snapshot_bytes()).unwrap();
        let snapshot = reader.fold.snapshot();
        prop_assert_eq!(&copy.snapshot(), &snapshot);
        let record = Record::from_bytes(&reader.fold.snapshot_record()).ok();
        prop_assert_eq!(record, Some(Record::Snapshot(Box::new(snapshot))));
    }
}

/// A broken rule or reader.
struct Mutant {
    rule: Rule,
    kind: ReaderKind,
}

const fn mutant(rule: Rule, kind: ReaderKind) -> Mutant {
    Mutant { rule, kind }
}

const MUTANTS: &[Mutant] = &[
    mutant(Rule::AnyBase, ReaderKind::Correct),
    mutant(Rule::AnyResult, ReaderKind::Correct),
    mutant(Rule::AnyDigest, ReaderKind::Correct),
    mutant(Rule::LastVerdict, ReaderKind::Correct),
    mutant(Rule::CountRevision, ReaderKind::Correct),
    mutant(Rule::Correct, ReaderKind::TakeSnapshots),
    mutant(Rule::Correct, ReaderKind::SkipGaps),
    mutant(Rule::Correct, ReaderKind::Reread),
];

/// Whether a log detects the mutant, read in order with each record twice, or from the middle on.
fn detects(log: &[LogRecord], mutant: &Mutant) -> bool {
    let naive = Naive::fold(log, mutant.rule);
    let mut twice = Reader::new(mutant.kind);
    for record in log {
        let _ = twice.apply(record);
        let _ = twice.apply(record);
    }
    let mut late = Reader::new(mutant.kind);
    late.read(log, log.len() / 2);
    let read = late.fold.next() > 0;
    let mid = Naive::fold(
        &log[..log.len().min(usize::try_from(late.fold.next()).unwrap())],
        mutant.rule,
    );
    twice.difference(&naive).is_some() || read && late.difference(&mid).is_some()
}

fn logs() -> Vec<Vec<LogRecord>> {
    let mut runner = TestRunner::deterministic();
    let mut logs = Vec::new();
    for _ in 0..LOGS_PER_MUTANT {
        let tree = ops().new_tree(&mut runner).unwrap();
        logs.push(build(&tree.current()).log);
    }
    logs
}

#[test]
fn mutants_are_found() {
    let logs = logs();
    let correct = mutant(Rule::Correct, ReaderKind::Correct);
    assert!(!logs.iter().any(|log| detects(log, &correct)));
    for mutant in MUTANTS {
        let found = logs.iter().any(|log| detects(log, mutant));
        assert!(found, "{:?} {:?}", mutant.rule, mutant.kind);
    }
}
