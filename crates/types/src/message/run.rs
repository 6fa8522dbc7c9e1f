//! One attempt of one request: entry to side, and the frames that come back.
//!
//! A side answers with `Head`, any number of `Data`, then `End`; or with `Refused` alone; or, once
//! it can't finish, with `Broken` last. Frames that stop without `End` are a broken answer.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::{AdapterId, BaseId, CallerId, LoadFigures, PoolId, RequestId, ServiceId, VersionId};

/// What a model request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelTarget {
    /// Base model.
    pub base: BaseId,
    /// Adapter.
    pub adapter: AdapterId,
    /// Version.
    pub version: VersionId,
    /// Digest of the version's declaration, to find configurations that differ.
    pub stamp: u64,
}

/// What a call of a plain service asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// Service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query as the service sees them.
    pub path: String,
    /// Headers passed on.
    pub headers: Vec<HeaderField>,
    /// Declared idempotent: may be sent again.
    pub idempotent: bool,
}

/// Target of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model engine.
    Model(ModelTarget),
    /// A plain service.
    Service(ServiceTarget),
}

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name, lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// What a side must know of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHead {
    /// Request, the same in each attempt.
    pub request: RequestId,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Pool the entry chose from.
    pub pool: PoolId,
    /// Revision of the configuration that the entry decided by.
    pub revision: u64,
    /// Caller, for shares.
    pub caller: CallerId,
    /// Target.
    pub target: Target,
    /// Time left until the caller's deadline, milliseconds.
    pub left_ms: u64,
    /// Priority, higher first.
    pub priority: u8,
    /// Answer token by token.
    pub stream: bool,
    /// Tokens the answer may have, or 1 for a plain service.
    pub tokens: u32,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
}

/// One attempt.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// What the side decides by.
    pub head: RunHead,
    /// Body for the upstream.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It was not run, and won't be by this attempt.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// Why a side or entry refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Queue is full, or can't meet the deadline.
    Overloaded,
    /// Deadline passed, or can't be met, before the request ran.
    Deadline,
    /// This upstream is leaving.
    Leaving,
    /// Upstream is down or starting.
    UpstreamDown,
    /// Adapter could not be made resident.
    LoadFailed,
    /// Side and entry hold different configurations for this target.
    StaleConfig,
    /// Side does not serve this pool.
    WrongPool,
    /// Log can't be written, so an effect can't be made safe.
    LogDown,
    /// Another attempt with this key is running.
    KeyBusy,
    /// Another attempt with this key may have run; its outcome is unknown.
    KeyUnknown,
    /// Key was used with another body.
    KeyReused,
    /// Key is older than the window.
    KeyExpired,
    /// Key is missing or malformed.
    KeyInvalid,
    /// The attempt was malformed.
    BadRequest,
}

/// Final word that an attempt did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, milliseconds.
    pub retry_ms: u64,
    /// Detail for people.
    pub detail: String,
    /// Load at the side, if it knows.
    pub load: Option<LoadFigures>,
}

/// Part of a side's answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Start of an answer.
    Head {
        /// Request answered.
        request: RequestId,
        /// Attempt answered.
        attempt: u32,
        /// Model name that the upstream says it ran, for model engines.
        model: Option<String>,
        /// HTTP status of the upstream.
        status: u16,
        /// Headers passed on.
        headers: Vec<HeaderField>,
        /// Answer comes from the record of an earlier attempt.
        replayed: bool,
    },
    /// Bytes of the answer: for a stream, whole events.
    Data {
        /// Bytes.
        #[serde_as(as = "Bytes")]
        bytes: Vec<u8>,
    },
    /// The answer is whole.
    End {
        /// Load at the side.
        load: Option<LoadFigures>,
    },
    /// Not run.
    Refused(Refusal),
    /// The answer can't be finished.
    Broken {
        /// Whether the request ran.
        ran: Ran,
        /// Step at which it broke.
        step: String,
        /// Detail for people.
        detail: String,
    },
}
