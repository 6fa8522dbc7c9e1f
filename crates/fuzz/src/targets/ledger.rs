//! Records of the services' intent streams.

use pumicecleat_ledger::{
    Abandon, Attempt, Digest, Done, Event, Intent, Key, Ledger, Limits, OffsetRange, Outcome,
    Owner, Record, RecordedResponse,
};
use pumicecleat_types::{CallerId, HeaderField, LogRecord, Millis};

use super::{Broken, Target, require};

/// Bytes that a ledger may hold for each byte read: a mark repeats what its record says, with the
/// words of its maps, and outcomes are kept as they came.
const GROWTH: usize = 64;

/// Bytes of a ledger that holds nothing, and of the marks that a short input makes.
const LEAST: usize = 16 << 10;

/// One append of a service's stream.
pub(super) struct IntentBatch;

impl Target for IntentBatch {
    fn name(&self) -> &'static str {
        "ledger"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let records = records();
        vec![
            Record::encode_batch(&records),
            Record::encode_batch(&records[..1]),
            Record::encode_batch(&records[1..]),
        ]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let decoded = Record::decode_batch(input);
        if let Ok(records) = &decoded {
            let again = Record::decode_batch(&Record::encode_batch(records)).ok();
            require(
                again.as_ref() == Some(records),
                "a batch changes on its way",
            )?;
        }
        check_read(input, decoded.is_ok())?;
        Ok(decoded.is_ok())
    }
}

fn check_read(input: &[u8], is_batch: bool) -> Result<(), Broken> {
    let Some(mut ledger) = ledger() else {
        return require(false, "limits refused");
    };
    let data = input.to_vec();
    let (offset, at) = (0, 1_000);
    let record = LogRecord { offset, at, data };
    let events = ledger.apply(&record);
    require(ledger.next_offset() == 1, "the record was not passed")?;
    let won = events.iter().any(|e| matches!(e, Event::Won(_)));
    require(!won, "won what was never claimed")?;
    let unreadable = events.iter().any(|e| matches!(e, Event::Unreadable { .. }));
    require(
        unreadable != is_batch,
        "an unreadable record went unnoticed",
    )?;
    require(ledger.apply(&record).is_empty(), "read twice")?;
    let most = LEAST + input.len() * GROWTH;
    require(ledger.memory_bytes() <= most, "holds more than it read")
}

fn ledger() -> Option<Ledger> {
    let limits = Limits::new(Millis(60_000), Millis(1_000), Millis(3_600_000)).ok()?;
    let span = OffsetRange { first: 0, end: 1 };
    Some(Ledger::new(owner("booking-0", 2), limits, span))
}

fn records() -> Vec<Record> {
    let caller = CallerId::from("front-desk");
    let texts = ["seat-41", "01936f5c-4e7a-7000-8000-000000000001"];
    let keys = texts.iter().filter_map(|t| Key::parse(&caller, t).ok());
    let digest = Digest::of_call("POST", "/seats/hold", b"{\"seat\":41}");
    let fields = vec![HeaderField {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    }];
    let answer = RecordedResponse::new(200, fields, b"{\"held\":true}", 1 << 10);
    let of_key = |(seq, key): (usize, Key)| {
        let attempt = Attempt {
            owner: owner("booking-1", 7),
            seq: seq as u64,
        };
        let done = Done {
            attempt: attempt.clone(),
            key: key.clone(),
            digest,
            outcome: Outcome::Response(answer.clone()),
        };
        let intent = Intent {
            attempt: attempt.clone(),
            key: key.clone(),
            digest,
            deadline: Millis(5_000),
        };
        let abandon = Abandon { attempt, key };
        [
            Record::Intent(intent),
            Record::Done(done),
            Record::Abandon(abandon),
        ]
    };
    keys.enumerate().flat_map(of_key).collect()
}

fn owner(vm: &str, incarnation: u64) -> Owner {
    let vm = vm.into();
    Owner { vm, incarnation }
}
