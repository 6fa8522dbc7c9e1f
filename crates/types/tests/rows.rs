//! Tests the encoding of messages as rows, which are shorter than maps with field names. Decoding must accept
//! both forms, as earlier versions send maps.

use pumicecleat_types::{LoadBid, LoadFigures, Report, ReportReply, decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Checks that `message` is encoded as a row, and that the row and the map `named` are both decoded to it.
fn check<M>(message: &M, named: &Value)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let row = encode(message);
    let map = encode(named);
    assert_eq!(&decode::<M>(&row).unwrap(), message);
    assert_eq!(&decode::<M>(&map).unwrap(), message);
    assert!(row.len() < map.len(), "{} {}", row.len(), map.len());
    // A row with another number of fields is rejected.
    let short_row = encode(&json!([1]));
    assert!(decode::<M>(&short_row).is_err());
}

#[test]
fn rows_and_maps_are_decoded() {
    let load = LoadFigures {
        running: 1,
        waiting: 2,
        max_batch_size: 3,
        slots: 4,
        spare_slots: 5,
        step_us: 6,
        wait_ms: 7,
    };
    let report = Report {
        vm: "v".into(),
        incarnation: 8,
        seq: 9,
        address: "a".to_owned(),
        pool: "p".into(),
        centre: "c".into(),
        region: "r".into(),
        leaving: true,
        healthy: false,
        load,
        resident: Some(vec!["x@1".to_owned()]),
        loading: None,
        revision: 10,
    };
    let named = json!({
        "vm": "v", "incarnation": 8, "seq": 9, "address": "a", "pool": "p", "centre": "c",
        "region": "r", "leaving": true, "healthy": false, "load": load, "resident": ["x@1"],
        "loading": null, "revision": 10,
    });
    check(&report, &named);
    let reply = ReportReply {
        next_ms: 1,
        revision: 2,
        needs_full_report: true,
    };
    check(&reply, &json!({"next_ms": 1, "revision": 2, "whole": true}));
    let bid = LoadBid {
        vm: "v".into(),
        lora: None,
        waiting: 1,
        time_left_ms: 2,
        waited_ms: 3,
    };
    let named = json!({"vm": "v", "lora": null, "waiting": 1, "left_ms": 2, "waited_ms": 3});
    check(&bid, &named);
}
