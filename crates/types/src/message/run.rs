//! An attempt of a request that an entry sends to a side, and the frames of the side's response.
//!
//! A response is `Head`, any number of `Data`, then `End`; or a single `Refused`; or, if it can't be
//! completed, `Broken` as the last frame. A response that stops without one of these is broken too.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::{AdapterId, BaseId, CallerId, LoadFigures, PoolId, RequestId, ServiceId, VersionId};

/// Target of a request to a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelTarget {
    /// Base model.
    pub base: BaseId,
    /// Adapter.
    pub adapter: AdapterId,
    /// Version.
    pub version: VersionId,
    /// Digest of the version's declaration, to detect that entry and side have different
    /// configurations.
    #[serde(rename = "stamp")]
    pub declaration_digest: u64,
}

/// Target of a request to a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// Service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query that are sent to the service.
    pub path: String,
    /// Forwarded headers.
    pub headers: Vec<HeaderField>,
    /// Whether the request is declared idempotent, so that it may be sent again.
    pub idempotent: bool,
}

/// Target of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model engine.
    Model(ModelTarget),
    /// A plain HTTP service.
    Service(ServiceTarget),
}

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Metadata of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHead {
    /// Request, the same for all its attempts.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Pool from which the entry chose the upstream.
    pub pool: PoolId,
    /// Revision of the configuration that the entry used.
    pub revision: u64,
    /// Caller, for fair sharing between callers.
    pub caller: CallerId,
    /// Target.
    pub target: Target,
    /// Time left until the caller's deadline, milliseconds.
    #[serde(rename = "left_ms")]
    pub time_left_ms: u64,
    /// Priority; requests with a higher one are served first.
    pub priority: u8,
    /// Whether to stream the response token by token.
    pub stream: bool,
    /// Maximum number of output tokens; 1 for a plain HTTP service.
    #[serde(rename = "tokens")]
    pub max_tokens: u32,
    /// Idempotency key, if the caller sent one.
    #[serde(rename = "key")]
    pub idempotency_key: Option<String>,
}

/// An attempt of a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Metadata.
    pub head: RunHead,
    /// Body that is sent to the upstream.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run, and this attempt won't run it.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// Reason why a side or an entry refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue is full, or too long to meet the deadline.
    Overloaded,
    /// The deadline passed, or became impossible to meet, before the request ran.
    Deadline,
    /// The upstream is leaving.
    Leaving,
    /// The upstream is down or starting.
    UpstreamDown,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The side and the entry have different configurations for this target.
    StaleConfig,
    /// The side does not serve this pool.
    WrongPool,
    /// The log can't be written, so the request can't be protected against running twice.
    LogDown,
    /// Another attempt with this idempotency key is running.
    KeyBusy,
    /// Another attempt with this idempotency key may have run, with an unknown outcome.
    KeyUnknown,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than the configured window.
    KeyExpired,
    /// The idempotency key is missing or malformed.
    KeyInvalid,
    /// The attempt was malformed.
    BadRequest,
}

/// Final response to an attempt that did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which to retry, milliseconds.
    pub retry_ms: u64,
    /// Details, for human readers.
    pub detail: String,
    /// Load of the upstream, if the side knows it.
    pub load: Option<LoadFigures>,
}

/// Frame of a side's response.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Start of the response.
    Head {
        /// Request that the response is for.
        request: RequestId,
        /// Attempt that the response is for.
        attempt: u32,
        /// Model that a model engine reports to have used.
        model: Option<String>,
        /// HTTP status that the upstream returned.
        status: u16,
        /// Forwarded headers.
        headers: Vec<HeaderField>,
        /// Whether the response was recorded during an earlier attempt.
        replayed: bool,
    },
    /// Part of the response body; in a stream, only complete events.
    Data {
        /// Bytes.
        #[serde_as(as = "Bytes")]
        bytes: Vec<u8>,
    },
    /// The response is complete.
    End {
        /// Load of the upstream, if the side knows it.
        load: Option<LoadFigures>,
    },
    /// The attempt did not run.
    Refused(Refusal),
    /// The response can't be completed.
    Broken {
        /// Whether the request ran.
        ran: Ran,
        /// Step that failed.
        step: String,
        /// Details, for human readers.
        detail: String,
    },
}
