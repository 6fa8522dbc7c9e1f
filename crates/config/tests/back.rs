//! A snapshot of an older revision is rejected even if its next offset is larger, as applying it
//! would revert the fold to that revision.

use pumicecleat_config::model::Config;
use pumicecleat_config::{Change, ChangeId, Fold, FoldEvent, Record, Source, parse};
use pumicecleat_types::LogRecord;

fn config(context: u32) -> Config {
    let text = format!("[base.malayalam-7b]\ncontext = {context}\n");
    let (name, bytes) = ("a.toml", text.as_bytes());
    parse(&[Source { name, bytes }]).unwrap()
}

fn record(offset: u64, data: Vec<u8>) -> LogRecord {
    LogRecord {
        offset,
        at: 0,
        data,
    }
}

fn change(fold: &mut Fold, context: u32) {
    let offset = fold.next();
    let id = ChangeId::try_from(format!("change-{offset}")).unwrap();
    let to = config(context);
    let change = Change::new(id, fold.revision(), fold.config(), &to, "asha");
    let data = Record::Change(Box::new(change)).to_bytes();
    let event = fold.apply(&record(offset, data)).unwrap();
    assert!(matches!(event, FoldEvent::Accepted { .. }), "{event:?}");
}

/// Returns a fold at revision 2, and one at revision 1 that has read further.
fn folds() -> (Fold, Fold) {
    let mut newer = Fold::new();
    change(&mut newer, 1_024);
    let mut older = newer.clone();
    change(&mut newer, 2_048);
    for offset in 1..4 {
        let event = older.apply(&record(offset, b"no record".to_vec()));
        assert!(
            matches!(event, Ok(FoldEvent::Malformed { .. })),
            "{event:?}"
        );
    }
    (newer, older)
}

struct Case {
    name: &'static str,
    offer: fn(&mut Fold, &Fold) -> bool,
}

const CASES: [Case; 2] = [
    Case {
        name: "from a peer",
        offer: |newer, older| newer.adopt_snapshot(&older.snapshot_bytes()).is_err(),
    },
    Case {
        name: "in the log, behind a gap",
        offer: |newer, older| {
            let snapshot = Record::Snapshot(Box::new(older.snapshot()));
            let event = newer.apply(&record(9, snapshot.to_bytes()));
            matches!(event, Ok(FoldEvent::Ignored(_)))
        },
    },
];

#[test]
fn a_snapshot_of_an_older_revision_is_refused() {
    for case in CASES {
        let (mut newer, older) = folds();
        assert!(older.next() > newer.next());
        let before = (newer.revision(), newer.digest(), newer.next());
        assert!((case.offer)(&mut newer, &older), "{}", case.name);
        let after = (newer.revision(), newer.digest(), newer.next());
        assert_eq!(after, before, "{}", case.name);
    }
}
