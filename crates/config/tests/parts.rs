//! Configuration of the parts of a service's idempotency keys.

use pumicecleat_config::model::Config;
use pumicecleat_config::{Change, ChangeId, Fold, FoldEvent, Record, Source, parse};
use pumicecleat_types::{LogRecord, decode};
use serde::Deserialize;

#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

fn change(fold: &Fold, to: &Config) -> LogRecord {
    let id = ChangeId::try_from(format!("change-{}", fold.next())).unwrap();
    let change = Change::new(id, fold.revision(), fold.config(), to, "test");
    LogRecord {
        offset: fold.next(),
        at: 0,
        data: Record::Change(Box::new(change)).to_bytes(),
    }
}

struct PartsCase {
    from: &'static str,
    to: &'static str,
    /// Part of the error message if the change is refused.
    refused: Option<&'static str>,
    /// Format of the change's record.
    format: u32,
}

const ENGINES: &str = "kind = 'model'\nbase = 'm'\nslots = 1\nbatch = 1";

#[rustfmt::skip]
const PARTS: &[PartsCase] = &[
    PartsCase { from: "", to: "kind = 'service'\nconcurrency = 1", refused: None, format: 1 },
    PartsCase { from: "", to: "kind = 'service'\nconcurrency = 1\nparts = 1", refused: None, format: 1 },
    PartsCase { from: "", to: "kind = 'service'\nconcurrency = 1\nparts = 8", refused: None, format: 2 },
    PartsCase {
        from: "kind = 'service'\nconcurrency = 1\nparts = 8", to: "kind = 'service'\nconcurrency = 2\nparts = 8",
        refused: None, format: 2,
    },
    PartsCase {
        from: "kind = 'service'\nconcurrency = 1", to: "kind = 'service'\nconcurrency = 1\nparts = 8",
        refused: Some("'pool.p' has its keys in 1 parts and can't have them in 8"), format: 2,
    },
    PartsCase {
        from: "kind = 'service'\nconcurrency = 1\nparts = 8", to: "kind = 'service'\nconcurrency = 1",
        refused: Some("'pool.p' has its keys in 8 parts and can't have them in 1"), format: 1,
    },
    PartsCase { from: "kind = 'service'\nconcurrency = 1\nparts = 8", to: ENGINES, refused: None, format: 1 },
    PartsCase { from: "kind = 'service'\nconcurrency = 1\nparts = 8", to: "", refused: None, format: 1 },
];

/// The number of parts is fixed while the pool exists; records with several parts have a format at
/// which older readers stop.
#[test]
fn parts_are_fixed() {
    let config = |pool: &str| {
        let pool = match pool {
            "" => String::new(),
            pool => format!("[pool.p]\n{pool}\n"),
        };
        let text = format!("[base.m]\ncontext = 1\n{pool}");
        let bytes = text.as_bytes();
        parse(&[Source {
            name: "parts",
            bytes,
        }])
        .unwrap()
    };
    for case in PARTS {
        let mut fold = Fold::new();
        let first = change(&fold, &config(case.from));
        fold.apply(&first).unwrap();
        let next = change(&fold, &config(case.to));
        let envelope: Envelope = decode(&next.data).unwrap();
        assert_eq!(envelope.format, case.format, "{} to {}", case.from, case.to);
        let found = match fold.apply(&next).unwrap() {
            FoldEvent::Refused { cause, .. } => Some(cause.to_string()),
            _ => None,
        };
        let holds = match (&found, case.refused) {
            (Some(found), Some(want)) => found.contains(want),
            (found, want) => found.is_none() && want.is_none(),
        };
        assert!(holds, "{} to {}: {found:?}", case.from, case.to);
        let kept = if found.is_none() { case.to } else { case.from };
        assert_eq!(fold.config(), &config(kept));
        let adopted = Fold::from_snapshot(&fold.snapshot_bytes()).unwrap();
        assert_eq!(adopted.config(), fold.config());
    }
}
