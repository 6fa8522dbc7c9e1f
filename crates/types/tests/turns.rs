//! Messages of requests for turns.

use pumicecleat_types::{TurnAsk, decode, encode};
use serde::{Deserialize, Serialize};

/// Request for a turn as it was before it named an account.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
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
    trial: Option<u8>,
    stays: bool,
}

fn earlier() -> EarlierAsk {
    EarlierAsk {
        request: "r1".to_owned(),
        base: "m0".to_owned(),
        adapter: Some("a7".to_owned()),
        version: 3,
        tokens: 1_500,
        priority: 1,
        objective_ms: 1_000,
        due_ms: 900,
        patience_ms: 3_900,
        trial: None,
        stays: true,
    }
}

fn ask(account: Option<&str>) -> TurnAsk {
    TurnAsk {
        request: "r1".to_owned(),
        base: "m0".to_owned(),
        adapter: Some("a7".to_owned()),
        min_version: 3,
        prompt_tokens: 1_500,
        priority: 1,
        objective_ms: 1_000,
        objective_left_ms: 900,
        patience_ms: 3_900,
        waits_for_slot: true,
        account: account.map(ToOwned::to_owned),
        ..TurnAsk::default()
    }
}

/// Guards against a message that changes although accounts don't share engines.
#[test]
fn a_request_without_an_account_is_the_same_message_to_the_byte() {
    assert_eq!(encode(&ask(None)), encode(&earlier()));
    assert_eq!(decode::<TurnAsk>(&encode(&earlier())).unwrap(), ask(None));
}

/// Guards against agents and gateways of different settings that don't understand each other.
#[test]
fn a_request_with_an_account_is_read_by_an_agent_that_knows_none() {
    let message = encode(&ask(Some("school")));
    assert_eq!(decode::<TurnAsk>(&message).unwrap(), ask(Some("school")));
    assert_eq!(decode::<EarlierAsk>(&message).unwrap(), earlier());
}
