//! Names and forms of heads, which differ by deployment.

use http::HeaderMap;

/// What the head of a caller's request tells beside method, host and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attributes {
    /// Request's id, new for each attempt of its caller.
    pub request: Option<String>,
    /// Time that the caller will wait, ms.
    pub deadline_ms: Option<u64>,
    /// Model wanted.
    pub model: Option<ModelName>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub output: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
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
pub struct Outgoing<'a> {
    /// Instance that it is meant for.
    pub instance: &'a str,
    /// Time that is left, ms.
    pub deadline_ms: u64,
    /// Version of the adapter that must run.
    pub version: Option<u64>,
    /// Rank at the engine, 0 before all others.
    pub priority: Option<u8>,
    /// Event after which the answer is to go on.
    pub after: Option<u64>,
}

/// When to come back, by an upstream's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTime {
    /// After this time, ms.
    After(u64),
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
pub struct Heard {
    /// Request that it answers.
    pub request: Option<String>,
    /// The request did not run there, by the upstream's own word.
    pub not_run: bool,
    /// It was another instance than the one named.
    pub other_instance: bool,
    /// The upstream leaves.
    pub leaving: bool,
    /// Its load.
    pub load: Option<Load>,
    /// When to come back.
    pub retry: Option<RetryTime>,
    /// Rate limit, if the answer carries one.
    pub limit: Option<RateLimit>,
}

/// Load of an upstream, by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// Names and forms of heads.
pub trait Wire {
    /// What the head of a caller's request tells.
    fn attributes(&self, headers: &HeaderMap) -> Attributes;

    /// Turns a caller's head into that of an attempt: what only the gateway may set is replaced.
    fn outgoing(&self, headers: &mut HeaderMap, outgoing: &Outgoing<'_>);

    /// What the head of an answer tells.
    fn heard(&self, status: u16, headers: &HeaderMap) -> Heard;

    /// Path at which readiness is asked for.
    fn ready_path(&self) -> &'static str;
}
