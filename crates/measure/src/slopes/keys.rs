//! The ledger of idempotency keys: memory of a window, time to read and admit, bytes in the log.

use pumicecleat_ledger::{
    Admission, Attempt, Call, Digest, Done, Intent, Key, Ledger, Limits, OffsetRange, Outcome,
    Owner, Record, RecordedResponse,
};
use pumicecleat_types::{LogRecord, Millis};

use super::clock::cost;
use super::line::{Figure, Sample, Series};
use super::memory::size;

/// Keys in the window.
const KEYS: [u32; 4] = [10_000, 20_000, 40_000, 80_000];

/// Records that ride in one append.
const BATCHES: [u32; 4] = [1, 4, 16, 64];

/// Calls in a batch.
const CALLS: u32 = 500;

/// Bytes of a call's answer.
const ANSWER: usize = 200;

/// Longest answer kept, bytes.
const LIMIT: usize = 4_096;

const NOW: Millis = Millis(1_790_000_000_000);
const HOUR: Millis = Millis(3_600_000);

/// Runs all.
pub(super) fn run() {
    bytes();
    let figure = |name, unit| Figure {
        part: "keys",
        name,
        unit,
        per: "key in the window",
    };
    let mut memory = Series::new(figure("ledger, memory", "bytes"));
    let mut read = Series::new(figure("an intent and an outcome read", "us"));
    let mut admit = Series::new(figure("a new call admitted", "us"));
    let mut kept = Vec::new();
    // Memory first: what the timed ledgers free would be reused.
    for keys in KEYS {
        memory.add(keys, Sample::once(size(&mut kept, || full(keys))));
    }
    for keys in KEYS {
        let mut ledger = full(keys);
        let mut offset = u64::from(keys);
        let reading = cost(CALLS, |n| {
            let data = Record::encode_batch(&pair(keys + n));
            ledger.apply(&LogRecord {
                offset,
                at: NOW.0,
                data,
            });
            offset += 1;
        });
        read.add(keys, reading);
        admit.add(
            keys,
            cost(CALLS, |n| claim(&mut ledger, keys + CALLS * 9 + n)),
        );
    }
    memory.fit();
    read.fit();
    admit.fit();
}

/// Bytes of one append, by the calls whose intent or outcome it carries.
fn bytes() {
    let figure = |name| Figure {
        part: "keys",
        name,
        unit: "bytes",
        per: "record",
    };
    let mut intents = Series::new(figure("append of intents"));
    let mut outcomes = Series::new(figure("append of outcomes"));
    for batch in BATCHES {
        let all: Vec<[Record; 2]> = (0..batch).map(pair).collect();
        let of = |at: usize| {
            let records: Vec<Record> = all.iter().map(|p| p[at].clone()).collect();
            Record::encode_batch(&records).len()
        };
        let sample = |bytes| Sample::once(f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)));
        intents.add(batch, sample(of(0)));
        outcomes.add(batch, sample(of(1)));
    }
    intents.fit();
    outcomes.fit();
}

fn full(keys: u32) -> Ledger {
    ledger_of(0..keys)
}

/// Ledger that holds these calls of other sides.
pub(super) fn ledger_of(calls: impl Iterator<Item = u32>) -> Ledger {
    let limits = Limits::new(HOUR, Millis(60_000), Millis(HOUR.0 * 2)).expect("they fit");
    let owner = Owner {
        vm: "centre-01-service-00001".into(),
        incarnation: NOW.0,
    };
    let mut ledger = Ledger::new(owner, limits, OffsetRange { first: 0, end: 0 });
    for (offset, n) in (0..).zip(calls) {
        let data = Record::encode_batch(&pair(n));
        ledger.apply(&LogRecord {
            offset,
            at: NOW.0,
            data,
        });
    }
    ledger
}

/// Bytes of a call's two appends.
pub(super) fn append_bytes(n: u32) -> usize {
    let appends = pair(n).map(|r| Record::encode_batch(&[r]).len());
    appends.iter().sum()
}

/// Intent and outcome of a call of another side.
fn pair(n: u32) -> [Record; 2] {
    let owner = Owner {
        vm: "centre-01-service-00002".into(),
        incarnation: NOW.0,
    };
    let seq = u64::from(n);
    let attempt = Attempt { owner, seq };
    let digest = Digest::of_call("POST", "/holds", &n.to_be_bytes());
    let intent = Intent {
        attempt: attempt.clone(),
        key: key(n),
        digest,
        deadline: Millis(NOW.0 + 5_000),
    };
    let answer = RecordedResponse::new(201, Vec::new(), &[b'x'; ANSWER], LIMIT);
    let done = Done {
        attempt,
        key: key(n),
        digest,
        outcome: Outcome::Response(answer),
    };
    [Record::Intent(intent), Record::Done(done)]
}

fn claim(ledger: &mut Ledger, n: u32) {
    let key = key(n);
    let call = Call {
        key: &key,
        digest: Digest::of_call("POST", "/holds", &n.to_be_bytes()),
        now: NOW,
        deadline: Millis(NOW.0 + 5_000),
    };
    let admission = ledger.admit(&call);
    assert!(matches!(admission, Admission::Claim(_)), "{admission:?}");
}

pub(super) fn key(n: u32) -> Key {
    let text = format!("hold-7b1e-4a02-9c55-{n:016}");
    Key::parse(&"caller-0001".into(), &text).expect("a key")
}
