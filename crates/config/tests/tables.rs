//! Table-driven tests of routes, grants, keys, stamps, differences and snapshots.

use std::collections::BTreeSet;

use pumicecleat_config::model::{Config, ItemKey, Limits};
use pumicecleat_config::{
    Change, ChangeId, Delta, DueReason, Fold, FoldEvent, KeyIndex, Record, Snapshot,
    SnapshotRejection, Source, VERDICT_WINDOW, diff, digest, hash_key, parse,
};
use pumicecleat_types::{LogRecord, Lora, VmId, encode};

const MODELS: &[u8] = include_bytes!("cases/good/csillagkapu/models.toml");
const CALLERS: &[u8] = include_bytes!("cases/good/csillagkapu/callers.toml");
const BOOKING: &[u8] = include_bytes!("cases/good/csillagkapu/booking.toml");

fn sample() -> Config {
    let source = |name, bytes| Source { name, bytes };
    parse(&[
        source("models.toml", MODELS),
        source("callers.toml", CALLERS),
        source("booking.toml", BOOKING),
    ])
    .unwrap()
}

struct RouteCase {
    method: &'static str,
    path: &'static str,
    /// Prefix of the route, and whether it is idempotent.
    want: Option<(&'static str, bool)>,
}

#[rustfmt::skip]
const ROUTES: &[RouteCase] = &[
    RouteCase { method: "GET", path: "/booking", want: Some(("/booking", true)) },
    RouteCase { method: "GET", path: "/booking/", want: Some(("/booking", true)) },
    RouteCase { method: "GET", path: "/booking?x=//", want: Some(("/booking", true)) },
    RouteCase { method: "GET", path: "/booking/holds/7", want: Some(("/booking", true)) },
    RouteCase { method: "POST", path: "/booking/holds/7", want: Some(("/booking/holds", false)) },
    RouteCase { method: "POST", path: "/booking/holdsx", want: None },
    RouteCase { method: "GET", path: "/bookings", want: None },
    RouteCase { method: "DELETE", path: "/booking/holds", want: None },
    RouteCase { method: "get", path: "/booking", want: None },
    RouteCase { method: "GET", path: "/booking/../admin", want: None },
    RouteCase { method: "GET", path: "/booking/%2E%2e/admin", want: None },
    RouteCase { method: "GET", path: "/booking//holds", want: None },
    RouteCase { method: "GET", path: "/booking\\holds", want: None },
    RouteCase { method: "GET", path: "", want: None },
    RouteCase { method: "GET", path: "booking", want: None },
];

#[test]
fn routes() {
    let config = sample();
    for case in ROUTES {
        let route = config.services["booking"].route(case.method, case.path);
        let found = route.map(|r| (r.prefix.as_str(), r.idempotent));
        assert_eq!(found, case.want, "{} {}", case.method, case.path);
    }
}

struct GrantCase {
    caller: &'static str,
    adapter: &'static str,
    service: &'static str,
    want: (bool, bool),
}

#[rustfmt::skip]
const GRANTS: &[GrantCase] = &[
    GrantCase { caller: "booking-app", adapter: "itinerary", service: "booking", want: (true, true) },
    GrantCase { caller: "booking-app", adapter: "sky-brief", service: "other", want: (true, false) },
    GrantCase { caller: "booking-app", adapter: "school-mail", service: "", want: (false, false) },
    GrantCase { caller: "booking-app", adapter: "itinerary-2", service: "", want: (false, false) },
    GrantCase { caller: "front-desk", adapter: "school-mail", service: "booking", want: (true, false) },
];

#[test]
fn grants() {
    let config = sample();
    for case in GRANTS {
        let caller = &config.callers[case.caller];
        let adapter = caller.may_use_adapter(&case.adapter.into());
        let service = caller.may_use_service(&case.service.into());
        assert_eq!((adapter, service), case.want, "{}", case.caller);
    }
}

struct KeyCase {
    bearer: &'static str,
    want: Option<&'static str>,
}

#[rustfmt::skip]
const KEYS: &[KeyCase] = &[
    KeyCase { bearer: "csillagkapu app key", want: Some("booking-app") },
    KeyCase { bearer: "front desk key", want: Some("front-desk") },
    KeyCase { bearer: "front desk key ", want: None },
    KeyCase { bearer: "", want: None },
];

#[test]
fn keys() {
    let config = sample();
    let mut index = KeyIndex::new(&config);
    for case in KEYS {
        let want = case.want.map(Into::into);
        assert_eq!(config.caller_by_key(case.bearer), want.as_ref());
        assert_eq!(index.caller(case.bearer), want.as_ref());
    }
    // A hash that shares only its prefix with that of the key does not match.
    let near = format!("{:0<64}", &hash_key("near key")[..16]);
    let mut caller = config.callers["front-desk"].clone();
    caller.keys = [near].into();
    index.insert(&"near".into(), &caller);
    assert_eq!(index.caller("near key"), None);
    for (id, caller) in &config.callers {
        index.remove(id, caller);
    }
    assert!(KEYS.iter().all(|case| index.caller(case.bearer).is_none()));
}

struct EditCase {
    name: &'static str,
    edit: fn(&mut Config),
    /// Prefixes of the lines of the difference.
    lines: &'static [&'static str],
    /// Whether the stamp of itinerary v7 is unchanged.
    same_stamp: bool,
}

#[rustfmt::skip]
const EDITS: &[EditCase] = &[
    EditCase { name: "nothing", edit: |_| {}, lines: &[], same_stamp: true },
    EditCase {
        name: "path",
        edit: |c| change_path(c, "elsewhere"),
        lines: &["~ adapter.itinerary.version.v7 {\"path\":\"csillagkapu/itinerary/v7\"} -> {\"path\":\"elsewhere\"}"],
        same_stamp: false,
    },
    EditCase {
        name: "version",
        edit: |c| drop(c.adapters.get_mut("itinerary").unwrap().versions.remove("v6")),
        lines: &["- adapter.itinerary.version.v6"],
        same_stamp: true,
    },
    EditCase {
        name: "adapter",
        edit: |c| drop(c.adapters.remove("itinerary")),
        lines: &["- adapter.itinerary", "- adapter.itinerary.version.v6", "- adapter.itinerary.version.v7"],
        same_stamp: false,
    },
    EditCase {
        name: "limits and base",
        edit: |c| { c.limits.body = 5; c.bases.insert("new".into(), c.bases["hu-assistant-8b"].clone()); },
        lines: &["+ base.new {\"context\":8192}", "~ limits "],
        same_stamp: true,
    },
];

fn change_path(config: &mut Config, path: &str) {
    let adapter = config.adapters.get_mut("itinerary").unwrap();
    path.clone_into(&mut adapter.versions.get_mut("v7").unwrap().path);
}

#[test]
fn edits() {
    let a = sample();
    let lora = Lora::new("hu-assistant-8b", "itinerary", "v7");
    for case in EDITS {
        let mut b = a.clone();
        (case.edit)(&mut b);
        let found: Vec<_> = diff(&a, &b).iter().map(ToString::to_string).collect();
        assert_eq!(found.len(), case.lines.len(), "{}", case.name);
        let mut pairs = found.iter().zip(case.lines);
        assert!(pairs.all(|(f, l)| f.starts_with(l)), "{found:?}");
        assert_eq!(Delta::between(&a, &b).apply(&a).as_ref(), Ok(&b));
        assert_eq!(Delta::between(&b, &a).apply(&b).as_ref(), Ok(&a));
        assert_eq!(digest(&a) == digest(&b), a == b);
        assert_eq!(a.stamp(&lora) == b.stamp(&lora), case.same_stamp);
    }
    assert!(a.stamp(&Lora::new("other", "itinerary", "v7")).is_none());
}

struct DeltaCase {
    /// Keys of removed items.
    removed: fn() -> Vec<ItemKey>,
    /// Keys of items of the sample that are put.
    put: fn() -> Vec<ItemKey>,
    want: Result<(), &'static str>,
}

fn itinerary() -> ItemKey {
    ItemKey::Adapter("itinerary".into())
}

fn version(name: &str) -> ItemKey {
    ItemKey::Version("itinerary".into(), name.into())
}

#[rustfmt::skip]
const DELTAS: &[DeltaCase] = &[
    DeltaCase { removed: Vec::new, put: Vec::new, want: Ok(()) },
    DeltaCase { removed: || vec![version("v6")], put: || vec![version("v7")], want: Ok(()) },
    DeltaCase {
        removed: || vec![version("v5")], put: Vec::new,
        want: Err("step delta: 'adapter.itinerary.version.v5' is not declared"),
    },
    DeltaCase {
        removed: || vec![itinerary(), version("v6")], put: Vec::new,
        want: Err("step delta: 'adapter.itinerary' still has versions"),
    },
    DeltaCase {
        removed: || vec![itinerary(), version("v6"), version("v7")], put: Vec::new, want: Ok(()),
    },
    DeltaCase {
        removed: || vec![itinerary(), version("v6"), version("v7")],
        put: || vec![ItemKey::Version("itinerary".into(), "v6".into())],
        want: Err("step delta: 'adapter.itinerary.version.v6' is out of order or comes twice"),
    },
    DeltaCase {
        removed: || vec![version("v7"), version("v6")], put: Vec::new,
        want: Err("step delta: 'adapter.itinerary.version.v6' is out of order or comes twice"),
    },
    DeltaCase {
        removed: Vec::new, put: || vec![version("v6"), version("v6")],
        want: Err("step delta: 'adapter.itinerary.version.v6' is out of order or comes twice"),
    },
    DeltaCase {
        removed: || vec![ItemKey::Limits], put: Vec::new,
        want: Err("step delta: 'limits' can't be removed"),
    },
];

#[test]
fn deltas() {
    let config = sample();
    for case in DELTAS {
        let items = (case.put)()
            .into_iter()
            .map(|key| config.item(&key).unwrap());
        let delta = Delta {
            removed: (case.removed)(),
            put: items.collect(),
        };
        let found = delta.apply(&config).map(drop).map_err(|e| e.to_string());
        assert_eq!(found, case.want.map_err(str::to_owned));
    }
    let orphan = Delta {
        put: vec![config.item(&version("v6")).unwrap()],
        ..Delta::default()
    };
    assert!(orphan.apply(&Config::default()).is_err());
}

fn record(fold: &Fold, at: u64, record: &Record) -> LogRecord {
    let offset = fold.next();
    let data = record.to_bytes();
    LogRecord { offset, at, data }
}

fn change(fold: &Fold, at: u64, base: u64, to: &Config) -> LogRecord {
    let id = ChangeId::try_from(format!("change-{}", fold.next())).unwrap();
    let change = Change::new(id, base, fold.config(), to, "test");
    record(fold, at, &Record::Change(Box::new(change)))
}

fn snapshot(fold: &Fold, at: u64, snapshot: Snapshot) -> LogRecord {
    record(fold, at, &Record::Snapshot(Box::new(snapshot)))
}

struct SnapshotCase {
    edit: fn(&mut Snapshot),
    want: fn(&FoldEvent) -> bool,
}

/// Snapshots applied by a reader that knows the state they cover.
#[rustfmt::skip]
const SNAPSHOTS: &[SnapshotCase] = &[
    SnapshotCase { edit: |_| {}, want: |e| *e == FoldEvent::Confirmed },
    SnapshotCase {
        edit: |s| { s.config.limits.body = 9; s.digest = digest(&s.config); },
        want: |e| matches!(e, FoldEvent::Ignored(SnapshotRejection::StateMismatch { .. })),
    },
    SnapshotCase {
        edit: |s| s.window.clear(),
        want: |e| matches!(e, FoldEvent::Ignored(SnapshotRejection::StateMismatch { .. })),
    },
    SnapshotCase {
        edit: |s| s.config.limits.body = 9,
        want: |e| matches!(e, FoldEvent::Ignored(SnapshotRejection::DigestMismatch)),
    },
    SnapshotCase {
        edit: |s| s.revision = s.next + 1,
        want: |e| matches!(e, FoldEvent::Ignored(SnapshotRejection::InconsistentNumbers)),
    },
    SnapshotCase {
        edit: |s| { s.next = 0; s.revision = 0; s.window.clear(); },
        want: |e| matches!(e, FoldEvent::Ignored(SnapshotRejection::StateForgotten { .. })),
    },
];

#[test]
fn snapshots() {
    let mut origin = Fold::new();
    for at in 0..3 {
        let to = Config {
            limits: Limits {
                body: 100 + at,
                ..Limits::default()
            },
            ..sample()
        };
        let record = change(&origin, at, origin.revision(), &to);
        origin.apply(&record).unwrap();
    }
    let fold = Fold::from_snapshot(&origin.snapshot_bytes()).unwrap();
    for (i, case) in SNAPSHOTS.iter().enumerate() {
        let mut fold = fold.clone();
        let before = fold.digest();
        let mut state = fold.snapshot();
        (case.edit)(&mut state);
        let event = fold.apply(&snapshot(&fold, 9, state)).unwrap();
        assert!((case.want)(&event), "case {i}: {event:?}");
        assert_eq!(fold.digest(), before);
    }
}

struct PeerCase {
    edit: fn(&mut Snapshot),
    /// Whether it is adopted, or `None` for an error.
    want: Option<bool>,
}

/// Snapshots from peers, for a reader whose `next` is 1.
#[rustfmt::skip]
const PEERS: &[PeerCase] = &[
    PeerCase { edit: |_| {}, want: Some(false) },
    PeerCase { edit: |s| s.next += 1, want: Some(true) },
    PeerCase { edit: |s| { s.next += 1; s.config.limits.body = 9; }, want: None },
    PeerCase {
        edit: |s| { s.next += 1; s.config.limits.body = 9; s.digest = digest(&s.config); },
        want: None,
    },
    PeerCase {
        edit: |s| { s.next += 1; s.revision = 0; s.config = Config::default(); s.digest = digest(&s.config); },
        want: None,
    },
];

#[test]
fn peers() {
    let mut origin = Fold::new();
    let first = change(&origin, 0, 0, &sample());
    origin.apply(&first).unwrap();
    for (i, case) in PEERS.iter().enumerate() {
        let mut fold = origin.clone();
        let mut state = origin.snapshot();
        (case.edit)(&mut state);
        assert_eq!(
            fold.adopt_snapshot(&encode(&state)).ok(),
            case.want,
            "case {i}"
        );
        assert_eq!(fold.digest(), origin.digest());
    }
    assert!(origin.clone().adopt_snapshot(b"garbage").is_err());
}

/// The window is bounded, and all readers drop the same verdicts from it.
#[test]
fn window_is_bounded() {
    let mut fold = Fold::new();
    let first = change(&fold, 0, 0, &sample());
    fold.apply(&first).unwrap();
    let mut late = None;
    for i in 0..VERDICT_WINDOW as u64 + 50 {
        if i == 40 {
            late = Some(Fold::from_snapshot(&fold.snapshot_bytes()).unwrap());
        }
        let refused = change(&fold, i, 0, &Config::default());
        fold.apply(&refused).unwrap();
        if let Some(late) = &mut late {
            late.apply(&refused).unwrap();
        }
    }
    let late = late.unwrap();
    assert_eq!(late.snapshot().window, fold.snapshot().window);
    assert_eq!(fold.snapshot().window.len(), VERDICT_WINDOW);
    let id = ChangeId::try_from("change-0".to_owned()).unwrap();
    assert_eq!(fold.verdict(&id), None);
    // A repeated change that has left the window is stale, so it still can't be applied twice.
    let again = LogRecord {
        offset: fold.next(),
        ..first
    };
    assert!(matches!(fold.apply(&again), Ok(FoldEvent::Refused { .. })));
}

struct EnvelopeCase {
    data: Vec<u8>,
    /// Whether the record stops the fold; otherwise it is malformed and skipped.
    stops: bool,
}

/// A record of a newer format stops the fold until the process is upgraded, whatever follows it;
/// malformed records don't.
#[test]
fn later_format_stops() {
    let envelope = |magic, format| {
        let fields = serde_json::json!({ "magic": magic, "format": format, "body": [1, 2] });
        encode(&fields)
    };
    let magic = "pumicecleat config record";
    #[rustfmt::skip]
    let cases = [
        EnvelopeCase { data: envelope(magic, 3), stops: true },
        EnvelopeCase { data: envelope(magic, 2), stops: false },
        EnvelopeCase { data: envelope(magic, 1), stops: false },
        EnvelopeCase { data: envelope("another", 3), stops: false },
        EnvelopeCase { data: vec![146, 2, 144], stops: false },
    ];
    for (i, case) in cases.into_iter().enumerate() {
        let mut fold = Fold::new();
        let first = change(&fold, 0, 0, &sample());
        let (at, data) = (0, case.data);
        let event = fold
            .apply(&LogRecord {
                offset: 0,
                at,
                data,
            })
            .unwrap();
        let stopped = matches!(event, FoldEvent::UnsupportedFormat { format: 3, .. });
        assert_eq!(stopped, case.stops, "case {i}: {event:?}");
        let next = fold.apply(&LogRecord { offset: 1, ..first });
        assert_eq!(next.is_err(), case.stops);
        assert_eq!(fold.revision() == 0, case.stops);
    }
}

const RETENTION: u64 = 400_000;

struct DueCase {
    /// Changes refused after the first, one per millisecond.
    records: u64,
    now: u64,
    want: Option<(DueReason, u64)>,
}

#[rustfmt::skip]
const DUE: &[DueCase] = &[
    DueCase { records: 1, now: 99_999, want: None },
    DueCase { records: 1, now: 100_000, want: Some((DueReason::Age, 100_000)) },
    DueCase { records: 4_094, now: 5_000, want: None },
    DueCase { records: 4_095, now: 5_000, want: Some((DueReason::Size, 4_095)) },
    DueCase { records: 5_000, now: 5_000, want: Some((DueReason::Size, 4_095)) },
];

#[test]
fn due() {
    let entries: BTreeSet<VmId> = (0..340).map(|i| format!("entry-{i}").into()).collect();
    assert_eq!(Fold::new().snapshot_due(u64::MAX, RETENTION), None);
    for case in DUE {
        let mut fold = Fold::new();
        let first = change(&fold, 0, 0, &sample());
        fold.apply(&first).unwrap();
        for at in 1..=case.records {
            let refused = change(&fold, at, 0, &Config::default());
            fold.apply(&refused).unwrap();
        }
        let due = fold.snapshot_due(case.now, RETENTION);
        assert_eq!(due.map(|d| (d.reason, d.since)), case.want);
        let Some(due) = due else {
            continue;
        };
        let turns: Vec<u64> = entries
            .iter()
            .map(|e| due.append_time(e, &entries))
            .collect();
        assert_eq!(turns.iter().filter(|t| **t == due.since).count(), 1);
        assert!(turns.iter().all(|t| *t <= due.since + RETENTION / 16));
        let record = snapshot(&fold, case.now, fold.snapshot());
        assert_eq!(fold.apply(&record), Ok(FoldEvent::Confirmed));
        assert_eq!(fold.snapshot_due(case.now, RETENTION), None);
        // A duplicate appended by another entry is accepted.
        let copy = LogRecord {
            offset: fold.next(),
            ..record
        };
        assert_eq!(fold.apply(&copy), Ok(FoldEvent::Confirmed));
    }
}
