//! Requests that were under way when upstreams ended: what processes tell each other of them.

use serde::{Deserialize, Serialize};

use super::ChangeCursor;
use crate::{Fingerprint, VmId};

/// News of suspects, in either direction of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// In a call what its sender has heard from the one called, in a reply how far it brings the caller.
    pub seen: ChangeCursor,
    /// What is new since.
    #[serde(rename = "words")]
    pub reports: Vec<SuspectReport>,
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Upstreams that ended under it.
    pub ends: Vec<UpstreamEnd>,
    /// Time since the last of them, or since the request last came, ms.
    pub age_ms: u64,
}

/// An upstream that ended while a request was under way there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// Key of the upstream's instance and start.
    pub key: u64,
    /// No other suspect was under way there.
    pub alone: bool,
    /// The request has been served since, so that it was not the cause.
    pub cleared: bool,
}

/// How a suspect may be sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trial {
    /// Beside others that are on trial.
    Shared,
    /// At an engine where no other is on trial.
    #[serde(rename = "Alone")]
    Exclusive,
}

/// Ask for permission to send a suspect once more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCall {
    /// VM of the entry.
    pub entry: VmId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Upstreams that ended under it, as far as the entry knows.
    pub ends: Vec<u64>,
    /// Permission that was given is not used.
    pub unused: bool,
}

/// Answer to a [`TrialCall`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReply {
    /// It may be sent once so.
    pub trial: Option<Trial>,
    /// Otherwise when to come back, ms.
    pub retry_ms: u64,
}
