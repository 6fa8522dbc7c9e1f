//! Messages between the system's processes.

use pumicecleat_types::{
    BidRequest, BidRequestReply, ConfigCall, ConfigReply, Frame, HeaderField, LoadBid, LoadFigures,
    LoadTurn, LogRecord, ModelTarget, Reason, Refusal, Report, ReportReply, RunHead, RunRequest,
    ServiceTarget, Target, decode, encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Broken, require};

/// Most that a decoded message may hold for each byte read: short texts and empty lists take more
/// room in memory than in a message.
const GROWTH: usize = 8;

/// Room that any message may take, bytes.
const LEAST: usize = 1 << 10;

/// A message of any kind.
pub(super) struct PeerMessage;

impl super::Target for PeerMessage {
    fn name(&self) -> &'static str {
        "message"
    }

    fn weight(&self) -> u64 {
        8
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        vec![
            encode(&request(model())),
            encode(&request(service())),
            encode(&report()),
            encode(&reply()),
            encode(&ConfigCall { from: Some(7) }),
            encode(&ConfigReply::Records(vec![log_record()])),
            encode(&ConfigReply::Snapshot(b"snapshot".to_vec())),
            encode(&bid()),
            encode(&LoadTurn::Granted { ttl_ms: 900 }),
            encode(&BidRequest { at_ms: 900 }),
            encode(&BidRequestReply { bids: true }),
            encode(&Frame::Refused(refusal())),
        ]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let taken = [
            check_as::<RunRequest>(input)?,
            check_as::<Report>(input)?,
            check_as::<ReportReply>(input)?,
            check_as::<ConfigCall>(input)?,
            check_as::<ConfigReply>(input)?,
            check_as::<LoadBid>(input)?,
            check_as::<LoadTurn>(input)?,
            check_as::<BidRequest>(input)?,
            check_as::<BidRequestReply>(input)?,
            check_as::<Frame>(input)?,
        ];
        Ok(taken.contains(&true))
    }
}

/// What is decoded comes back from its own bytes, which are no more than it was read from allows.
fn check_as<T: Serialize + DeserializeOwned + PartialEq>(input: &[u8]) -> Result<bool, Broken> {
    let Ok(message) = decode::<T>(input) else {
        return Ok(false);
    };
    let bytes = encode(&message);
    let again = decode::<T>(&bytes).ok();
    require(
        again.as_ref() == Some(&message),
        "a message changes on its way",
    )?;
    let most = LEAST + input.len() * GROWTH;
    require(bytes.len() <= most, "a message grew")?;
    Ok(true)
}

fn request(target: Target) -> RunRequest {
    RunRequest {
        head: RunHead {
            request: "r-1".into(),
            attempt: 2,
            pool: "engines".into(),
            revision: 7,
            caller: "front-desk".into(),
            target,
            time_left_ms: 5_000,
            priority: 3,
            stream: true,
            max_tokens: 120,
            idempotency_key: Some("seat-41".to_owned()),
        },
        body: b"{\"seat\":41}".to_vec(),
    }
}

fn model() -> Target {
    Target::Model(ModelTarget {
        base: "malayalam-7b".into(),
        adapter: "sowing".into(),
        version: "v3".into(),
        declaration_digest: 0x0123_4567_89ab_cdef,
    })
}

fn service() -> Target {
    Target::Service(ServiceTarget {
        service: "booking".into(),
        method: "POST".to_owned(),
        path: "/seats/hold".to_owned(),
        headers: vec![header()],
        idempotent: false,
    })
}

fn header() -> HeaderField {
    HeaderField {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    }
}

fn report() -> Report {
    Report {
        vm: "engine-0".into(),
        incarnation: 3,
        seq: 12,
        address: "10.0.0.1:7000".to_owned(),
        pool: "engines".into(),
        centre: "bp-a".into(),
        region: "hu-central".into(),
        leaving: false,
        healthy: true,
        load: figures(),
        resident: Some(vec!["sowing@v3".to_owned()]),
        loading: None,
        revision: 7,
    }
}

fn reply() -> ReportReply {
    ReportReply {
        next_ms: 500,
        revision: 7,
        needs_full_report: true,
    }
}

fn figures() -> LoadFigures {
    LoadFigures {
        running: 3,
        waiting: 70_000,
        max_batch_size: 8,
        ..LoadFigures::default()
    }
}

fn log_record() -> LogRecord {
    LogRecord {
        offset: 6,
        at: 1_733_000_000_000,
        data: b"record".to_vec(),
    }
}

fn bid() -> LoadBid {
    LoadBid {
        vm: "engine-0".into(),
        lora: Some("sowing@v3".to_owned()),
        waiting: 2,
        time_left_ms: 900,
        waited_ms: 40,
    }
}

fn refusal() -> Refusal {
    Refusal {
        reason: Reason::Overloaded,
        retry_ms: 1_000,
        detail: "full".to_owned(),
        load: Some(figures()),
    }
}
