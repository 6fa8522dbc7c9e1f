//! Tests the messages on suspects against those of versions that know requests only.

use pumicecleat_types::{
    Fingerprint, SuspectKey, SuspectReport, TrialCall, UpstreamEnd, decode, encode,
};
use serde::Serialize;
use serde_with::{Bytes, serde_as};

/// Report as earlier versions send it.
#[serde_as]
#[derive(Serialize)]
struct EarlierReport {
    #[serde_as(as = "Bytes")]
    fingerprint: [u8; 16],
    ends: Vec<EarlierEnd>,
    age_ms: u64,
}

#[derive(Serialize)]
struct EarlierEnd {
    key: u64,
    alone: bool,
    cleared: bool,
}

#[test]
fn a_report_of_an_earlier_version_is_of_a_request() {
    let end = EarlierEnd {
        key: 9,
        alone: true,
        cleared: false,
    };
    let earlier = EarlierReport {
        fingerprint: [7; 16],
        ends: vec![end],
        age_ms: 5,
    };
    let expected = SuspectReport {
        key: SuspectKey::request(Fingerprint([7; 16])),
        ends: vec![UpstreamEnd {
            key: 9,
            alone: true,
            cleared: false,
            age_ms: 0,
        }],
        age_ms: 5,
    };
    assert_eq!(
        decode::<SuspectReport>(&encode(&earlier)).unwrap(),
        expected
    );
    let json = serde_json::to_vec(&earlier).unwrap();
    let stored: SuspectReport = serde_json::from_slice(&json).unwrap();
    assert_eq!(stored, expected);
}

#[test]
fn what_a_suspect_is_outlasts_messages_and_records() {
    let key = SuspectKey::prompt_part(Fingerprint([3; 16]));
    let report = SuspectReport {
        key,
        ends: Vec::new(),
        age_ms: 1,
    };
    assert_eq!(decode::<SuspectReport>(&encode(&report)).unwrap(), report);
    let json = serde_json::to_vec(&report).unwrap();
    assert_eq!(
        serde_json::from_slice::<SuspectReport>(&json).unwrap(),
        report
    );
    let call = TrialCall {
        key,
        ..TrialCall::default()
    };
    assert_eq!(decode::<TrialCall>(&encode(&call)).unwrap(), call);
}
