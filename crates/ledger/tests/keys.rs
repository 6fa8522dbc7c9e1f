//! Table-driven tests of keys, limits, digests and recorded bodies.

use pumicecleat_ledger::{
    Body, Digest, Key, KeyError, LimitError, Limits, MAX_KEY_BYTES, RecordedResponse,
};
use pumicecleat_types::{CallerId, Millis};

fn caller() -> CallerId {
    "csillagkapu".into()
}

struct KeyCase {
    text: &'static str,
    key: Result<&'static str, KeyError>,
    minted: Option<u64>,
}

const fn key_case(
    text: &'static str,
    key: Result<&'static str, KeyError>,
    minted: Option<u64>,
) -> KeyCase {
    KeyCase { text, key, minted }
}

fn key_cases() -> Vec<KeyCase> {
    let invalid = |found| KeyError::InvalidCharacter {
        caller: caller(),
        found,
    };
    let empty = KeyError::Empty { caller: caller() };
    vec![
        key_case("seat-41", Ok("seat-41"), None),
        key_case("\"seat-41\"", Ok("seat-41"), None),
        key_case("", Err(empty.clone()), None),
        key_case("\"\"", Err(empty), None),
        key_case("\"", Err(invalid('"')), None),
        key_case("seat 41", Err(invalid(' ')), None),
        key_case("seat\n41", Err(invalid('\n')), None),
        key_case("szék", Err(invalid('é')), None),
        key_case(
            "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
            Ok("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
            Some(1_645_557_742_000),
        ),
        key_case(
            "919108f7-52d1-4320-9bac-f847db4148a8",
            Ok("919108f7-52d1-4320-9bac-f847db4148a8"),
            None,
        ),
    ]
}

#[test]
fn key_texts_are_checked() {
    for case in key_cases() {
        let key = Key::parse(&caller(), case.text);
        let minted = key.as_ref().ok().and_then(Key::minted);
        assert_eq!(
            key.as_ref().map(Key::text),
            case.key.as_ref().copied(),
            "{:?}",
            case.text
        );
        assert_eq!(minted, case.minted.map(Millis), "{:?}", case.text);
    }
}

#[test]
fn long_keys_are_refused() {
    let longest = "k".repeat(MAX_KEY_BYTES);
    let longer = "k".repeat(MAX_KEY_BYTES + 1);
    assert!(Key::parse(&caller(), &longest).is_ok());
    let error = Key::parse(&caller(), &longer).unwrap_err();
    assert_eq!(
        error.to_string(),
        "step key, caller csillagkapu: 256 bytes, at most 255"
    );
}

#[test]
fn callers_do_not_share_keys() {
    let one = Key::parse(&caller(), "k").unwrap();
    let other = Key::parse(&"vithu-koottam".into(), "k").unwrap();
    assert_ne!(one, other);
}

struct LimitCase {
    window: u64,
    max_ahead: u64,
    log_retention: u64,
    error: Option<LimitError>,
}

const LIMITS: &[LimitCase] = &[
    LimitCase {
        window: 100,
        max_ahead: 10,
        log_retention: 111,
        error: None,
    },
    LimitCase {
        window: 0,
        max_ahead: 10,
        log_retention: 111,
        error: Some(LimitError::ZeroWindow),
    },
    LimitCase {
        window: 100,
        max_ahead: 10,
        log_retention: 110,
        error: Some(LimitError::RetentionTooShort {
            window: Millis(100),
            max_ahead: Millis(10),
            log_retention: Millis(110),
        }),
    },
    LimitCase {
        window: u64::MAX,
        max_ahead: 1,
        log_retention: u64::MAX,
        error: Some(LimitError::RetentionTooShort {
            window: Millis(u64::MAX),
            max_ahead: Millis(1),
            log_retention: Millis(u64::MAX),
        }),
    },
];

#[test]
fn a_window_is_shorter_than_the_log_retention() {
    for case in LIMITS {
        let limits = Limits::new(
            Millis(case.window),
            Millis(case.max_ahead),
            Millis(case.log_retention),
        );
        assert_eq!(
            limits.err(),
            case.error,
            "{} {} {}",
            case.window,
            case.max_ahead,
            case.log_retention
        );
    }
}

struct CallCase {
    method: &'static str,
    path: &'static str,
    body: &'static [u8],
}

const fn call_case(method: &'static str, path: &'static str, body: &'static [u8]) -> CallCase {
    CallCase { method, path, body }
}

const CALLS: &[CallCase] = &[
    call_case("POST", "/holds", b"1"),
    call_case("PUT", "/holds", b"1"),
    call_case("POST", "/holds1", b""),
    call_case("POST", "/hold", b"s1"),
    call_case("POST/", "holds", b"1"),
];

#[test]
fn digests_tell_calls_apart() {
    let digest = |c: &CallCase| Digest::of_call(c.method, c.path, c.body).to_string();
    let digests: std::collections::BTreeSet<String> = CALLS.iter().map(digest).collect();
    assert_eq!(digests.len(), CALLS.len());
}

struct BodyCase {
    body: &'static [u8],
    limit: usize,
    complete: bool,
}

const BODIES: &[BodyCase] = &[
    BodyCase {
        body: b"",
        limit: 0,
        complete: true,
    },
    BodyCase {
        body: b"held",
        limit: 4,
        complete: true,
    },
    BodyCase {
        body: b"held!",
        limit: 4,
        complete: false,
    },
];

#[test]
fn large_bodies_are_recorded_as_digests() {
    for case in BODIES {
        let response = RecordedResponse::new(200, Vec::new(), case.body, case.limit);
        let large = Body::Large {
            digest: Digest::of(case.body),
            bytes: case.body.len() as u64,
        };
        let expected = if case.complete {
            Body::Complete(case.body.to_vec())
        } else {
            large
        };
        assert_eq!(response.body, expected, "{:?}", case.body);
    }
}

struct PartitionCase {
    caller: &'static str,
    text: &'static str,
    partitions: u32,
    partition: u32,
}

#[rustfmt::skip]
const PARTITIONS: &[PartitionCase] = &[
    PartitionCase { caller: "csillagkapu", text: "seat-41", partitions: 1, partition: 0 },
    PartitionCase { caller: "csillagkapu", text: "seat-41", partitions: 8, partition: 2 },
    PartitionCase { caller: "csillagkapu", text: "\"seat-41\"", partitions: 8, partition: 2 },
    PartitionCase { caller: "vithu-koottam", text: "seat-41", partitions: 8, partition: 0 },
    PartitionCase { caller: "csillagkapu", text: "seat-42", partitions: 8, partition: 6 },
    PartitionCase { caller: "csillagkapu", text: "seat-41", partitions: 1_024, partition: 1_018 },
];

/// A key must always map to the same partition: with another hash, the records of keys in use would
/// not be found.
#[test]
fn partitions_of_keys() {
    let partition = |c: &PartitionCase| {
        Key::parse(&c.caller.into(), c.text)
            .unwrap()
            .partition(c.partitions)
    };
    let found: Vec<u32> = PARTITIONS.iter().map(partition).collect();
    let want: Vec<u32> = PARTITIONS.iter().map(|c| c.partition).collect();
    assert_eq!(found, want);
    let mut counts = [0_u32; 16];
    for n in 0..16_000 {
        let key = Key::parse(&caller(), &format!("seat-{n}")).unwrap();
        counts[key.partition(16) as usize] += 1;
    }
    assert!(
        counts.iter().all(|c| (800..1_200).contains(c)),
        "{counts:?}"
    );
}
