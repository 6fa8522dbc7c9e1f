//! Requests for turns, as earlier versions write and read them.

use pumicecleat_types::{Trial, TurnAsk, decode, encode};
use serde::{Deserialize, Serialize};

/// A request for a turn without the optional fields.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct EarlierAsk {
    request: String,
    base: String,
    adapter: Option<String>,
    version: u64,
    tokens: u32,
    priority: u8,
    objective_ms: u64,
    due_ms: u64,
    patience_ms: u64,
    trial: Option<Trial>,
    stays: bool,
}

/// Guards against messages that grow where an optional part is off, and against processes of two versions that don't
/// understand each other.
#[test]
fn a_request_for_a_turn_without_optional_fields_is_the_same_as_before() {
    let ask = TurnAsk {
        request: "r1".to_owned(),
        prompt_tokens: 7,
        ..TurnAsk::default()
    };
    let earlier = EarlierAsk {
        request: "r1".to_owned(),
        tokens: 7,
        ..EarlierAsk::default()
    };
    assert_eq!(encode(&ask), encode(&earlier));
    assert_eq!(decode::<TurnAsk>(&encode(&earlier)).unwrap(), ask);
    let full = TurnAsk {
        pause_ms: 400,
        account: Some("school".to_owned()),
        ..ask
    };
    assert_eq!(decode::<EarlierAsk>(&encode(&full)).unwrap(), earlier);
    assert_eq!(decode::<TurnAsk>(&encode(&full)).unwrap(), full);
}
