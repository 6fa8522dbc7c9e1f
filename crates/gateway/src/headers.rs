//! Names and forms of heads, which differ by deployment.

use http::HeaderMap;

/// What the head of a caller's request tells beside method, host and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Request's id, new for each attempt of its caller.
    pub request_id: Option<String>,
    /// Time that the caller will wait, ms.
    pub deadline_ms: Option<u64>,
    /// Model wanted.
    pub model: Option<ModelName>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// What was there and could not be read: it counts as not given.
    pub unreadable: Vec<&'static str>,
}

/// Model that a request wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelName {
    /// Base model.
    pub base: String,
    /// Adapter of it.
    pub adapter: Option<String>,
}

/// Part of a prompt, which other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: String,
    /// Its tokens.
    pub tokens: u32,
}

/// What one attempt tells its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptAttributes<'a> {
    /// Instance that it is meant for.
    pub instance: &'a str,
    /// Time that is left, ms.
    pub deadline_ms: u64,
    /// Version of the adapter that must run.
    pub adapter_version: Option<u64>,
    /// Rank at the engine, 0 before all others.
    pub priority: Option<u8>,
    /// Event after which the answer is to go on.
    pub last_event_id: Option<u64>,
}

/// When to come back, by an upstream's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// After this time, ms.
    DelayMs(u64),
    /// It told something that is no time.
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

/// What the head of an upstream's answer tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseAttributes {
    /// Request that it answers.
    pub request_id: Option<String>,
    /// The request did not run there, by the upstream's own word.
    pub not_run: bool,
    /// It was another instance than the one named.
    pub is_other_instance: bool,
    /// The upstream leaves.
    pub is_leaving: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// When to come back.
    pub retry_after: Option<RetryAfter>,
    /// Rate limit, if the answer carries one.
    pub rate_limit: Option<RateLimit>,
}

/// Load of an upstream, by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// Names and forms of heads.
pub trait HeaderCodec {
    /// What the head of a caller's request tells.
    fn decode_request(&self, headers: &HeaderMap) -> RequestAttributes;

    /// Turns a caller's head into that of an attempt: what only the gateway may set is replaced.
    fn encode_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptAttributes<'_>);

    /// What the head of an answer tells.
    fn decode_response(&self, status: u16, headers: &HeaderMap) -> ResponseAttributes;

    /// Path at which readiness is asked for.
    fn ready_path(&self) -> &'static str;
}
