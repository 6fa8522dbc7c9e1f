//! Headers of requests and responses, whose names and formats differ by deployment.

use http::HeaderMap;
use pumicecleat_catalog::KeyDigest;
use snafu::Snafu;

/// Decoded headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Request ID, different for each attempt of the caller.
    pub request_id: Option<String>,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Key of the caller.
    pub credentials: Credentials,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Sum of both numbers of tokens, if they are declared.
    pub declared_tokens: Option<u64>,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Set if the request continues a stream that an earlier request of the caller began.
    pub resumption: Option<Resumption>,
    /// Names of the values that were present but could not be decoded, and are treated as absent.
    pub unreadable: Vec<&'static str>,
}

impl RequestAttributes {
    /// IDs of the parts of the prompt that other requests may share: all but the last, which belongs to the request
    /// or its session.
    #[must_use]
    pub fn shared_parts(&self) -> Vec<&str> {
        let shared = self.prompt_parts.split_last().map(|(_, rest)| rest);
        let ids = shared.unwrap_or_default().iter();
        ids.map(|part| part.id.as_str()).collect()
    }
}

/// Where a stream goes on that an earlier request of the caller began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// ID of the request that brought the stream's first event, if it is named.
    pub origin: Option<String>,
    /// Last event that the caller has, if it is given and could be decoded.
    pub last_event_id: Option<u64>,
}

/// Key that a request carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credentials {
    /// None.
    #[default]
    Absent,
    /// A key.
    Key(KeyDigest),
    /// Credentials of another form, or more than one.
    Malformed,
}

/// Requested model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelName {
    /// Base model.
    pub base: String,
    /// Adapter for the base model, if any.
    pub adapter: Option<String>,
}

/// Part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// ID of the part.
    pub id: String,
    /// Number of tokens.
    pub tokens: u32,
}

/// Attributes that are set on one attempt to send a request upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptAttributes<'a> {
    /// Instance that the attempt is addressed to.
    pub instance: &'a str,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Required version of the adapter.
    pub adapter_version: Option<u64>,
    /// Priority at the engine.
    pub priority: Priority,
    /// Caller, as the upstream is told.
    pub caller: CallerName<'a>,
    /// Event of the response stream after which to resume.
    pub last_event_id: Option<u64>,
}

/// Priority of a request; 0 is the highest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Priority of the caller's account, if it has one.
    pub account: Option<u8>,
    /// Priority of the route.
    pub route: u8,
}

impl Priority {
    /// Returns one number for comparisons with requests of any account and route: the account's priority
    /// decides before the route's.
    #[must_use]
    pub fn rank(self) -> u8 {
        let first = self.account.unwrap_or(self.route);
        let second = self.route.min(ROUTE_RANKS - 1);
        first.saturating_mul(ROUTE_RANKS).saturating_add(second)
    }
}

/// Ranks for routes within one priority of an account.
const ROUTE_RANKS: u8 = 4;

/// Caller of a request, as an upstream is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerName<'a> {
    /// There are no accounts: the caller's credentials are for the upstream.
    #[default]
    Unmanaged,
    /// No account.
    Anonymous,
    /// The account with this name.
    Account(&'a str),
}

/// Time after which an upstream asks for requests again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// Delay in milliseconds.
    DelayMs(u64),
    /// The value could not be decoded.
    Unreadable,
}

/// Rate limit of an upstream across all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimit {
    /// Requests per 1,000 seconds.
    Rate(u64),
    /// The value could not be decoded.
    Unreadable,
}

/// Why bytes that arrived as a response are not the upstream's response to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unattributed {
    /// They name no request.
    #[snafu(display("response that names no request"))]
    NoRequest,
    /// They name another request.
    #[snafu(display("response to another request"))]
    OtherRequest,
    /// They are a success without the upstream's proof that it produced the response.
    #[snafu(display("success without proof"))]
    NoProof,
    /// Their body is encoded, which no upstream does.
    #[snafu(display("encoded body"))]
    Encoded,
}

impl Unattributed {
    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRequest => "no_request",
            Self::OtherRequest => "other_request",
            Self::NoProof => "no_proof",
            Self::Encoded => "encoded",
        }
    }
}

/// What a response tells of whether the request was executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Execution {
    /// The request was executed, or may have been.
    #[default]
    Possible,
    /// The upstream states that it did not execute the request.
    NotRun,
    /// The status tells callers that the request was not executed, but the upstream does not state it.
    Unstated,
}

/// Decoded headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseAttributes {
    /// Whether the request was executed.
    pub execution: Execution,
    /// Another instance than the addressed one responded.
    pub is_other_instance: bool,
    /// The upstream is leaving.
    pub is_leaving: bool,
    /// Load of the upstream.
    pub load: Option<ReportedLoad>,
    /// Time after which the upstream asks for requests again.
    pub retry_after: Option<RetryAfter>,
    /// Rate limit, if the response carries one.
    pub rate_limit: Option<RateLimit>,
}

/// Load of an upstream, as reported by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// Decodes and encodes the headers of a deployment.
pub trait HeaderCodec {
    /// Decodes the headers of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes;

    /// Rewrites the headers of a caller's request for an attempt; replaces those that only the gateway may
    /// set.
    fn encode_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptAttributes<'_>);

    /// Decodes the headers of a response to the request with `request_id`.
    ///
    /// # Errors
    /// Returns [`Unattributed`] if the headers do not show that the response is the upstream's response to this
    /// request. Nothing that such a response says may be relied on.
    fn decode_response(
        &self,
        request_id: Option<&str>,
        status: u16,
        headers: &HeaderMap,
    ) -> Result<ResponseAttributes, Unattributed>;

    /// Authentication scheme of keys.
    fn auth_scheme(&self) -> &'static str;

    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;
}
