//! Compares [`Ledger`](pumicecleat_ledger::Ledger) with a naive implementation on random traces.
//! The naive one keeps all records read and scans them for each decision. The seed is fixed, and
//! failing cases are shrunk.

mod naive;
mod trace;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use pumicecleat_ledger::{Key, Ledger, Record};
use pumicecleat_types::LogRecord;

use trace::{Pair, batch, new_ledger, ops};

const SEED: u64 = 20_261_202;
const CASES: u32 = 600;
const MAX_BYTES: usize = 300;

fn config() -> Config {
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn apply_one(data: Vec<u8>) -> Ledger {
    let mut ledger = new_ledger();
    ledger.apply(&LogRecord {
        offset: 0,
        at: 1,
        data,
    });
    ledger
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decides_as_the_naive_implementation(ops in ops()) {
        let mut pair = Pair::new();
        for op in ops {
            pair.step(&op)?;
        }
    }

    #[test]
    fn any_bytes_are_read_without_panic(data in prop::collection::vec(any::<u8>(), 0..MAX_BYTES)) {
        prop_assert_eq!(apply_one(data).next_offset(), 1);
    }

    #[test]
    fn a_damaged_batch_is_read_without_panic(records in batch(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut data = Record::encode_batch(&records);
        let at = at.index(data.len());
        data[at] = byte;
        prop_assert_eq!(apply_one(data).next_offset(), 1);
    }

    #[test]
    fn a_batch_survives_its_encoding(records in batch()) {
        let data = Record::encode_batch(&records);
        prop_assert_eq!(Record::decode_batch(&data).unwrap(), records);
    }

    #[test]
    fn any_text_is_a_key_or_an_error(text in any::<String>()) {
        if let Ok(key) = Key::parse(&"c".into(), &text) {
            prop_assert!(text.contains(key.text()));
        }
    }
}
