//! Snapshots become due even if nothing was accepted yet.

use pumicecleat_config::{DueReason, Fold, FoldEvent};
use pumicecleat_types::LogRecord;

const RETENTION: u64 = 400_000;
const DUE: u64 = RETENTION / 4;

#[test]
fn due_with_nothing_accepted() {
    let mut fold = Fold::new();
    let garbage = LogRecord {
        offset: 0,
        at: 0,
        data: b"garbage".to_vec(),
    };
    fold.apply(&garbage).unwrap();
    assert_eq!(fold.snapshot_due(DUE - 1, RETENTION), None);
    let due = fold.snapshot_due(DUE, RETENTION);
    assert_eq!(due.map(|d| d.reason), Some(DueReason::Age));
    // A reader that starts after the garbage is trimmed can start from this snapshot.
    let record = LogRecord {
        offset: 1,
        at: DUE,
        data: fold.snapshot_record(),
    };
    let mut late = Fold::new();
    assert_eq!(late.apply(&record), Ok(FoldEvent::Restored { revision: 0 }));
    assert_eq!(late.next(), 1);
}
