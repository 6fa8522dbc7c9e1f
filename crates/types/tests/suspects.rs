//! Tests the messages on suspects against those of versions that know requests only.

use pumicecleat_types::{
    Fingerprint, SuspectKey, SuspectReport, TrialCall, UpstreamEnd, VmId, decode, encode,
};
use serde::{Deserialize, Serialize};
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
    let call = TrialCall {
        parts: vec![key.digest, Fingerprint([4; 16])],
        ..call
    };
    assert_eq!(decode::<TrialCall>(&encode(&call)).unwrap(), call);
}

/// Call as versions send it that name no parts.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierCall {
    entry: VmId,
    #[serde(flatten)]
    key: SuspectKey,
    ends: Vec<u64>,
    unused: bool,
}

/// Guards against trials that are not granted between versions.
#[test]
fn calls_for_trials_are_read_between_versions() {
    let earlier = EarlierCall {
        entry: VmId::default(),
        key: SuspectKey::prompt_part(Fingerprint([3; 16])),
        ends: vec![1, 2],
        unused: false,
    };
    let call: TrialCall = decode(&encode(&earlier)).unwrap();
    assert_eq!(
        (call.key, call.ends.len(), call.parts.len()),
        (earlier.key, 2, 0)
    );
    assert_eq!(encode(&call), encode(&earlier));
    let with_parts = TrialCall {
        parts: vec![Fingerprint([3; 16])],
        ..call
    };
    assert_eq!(
        decode::<EarlierCall>(&encode(&with_parts)).unwrap(),
        earlier
    );
}
