//! Content of a request.

use bytes::Bytes;
use pumicecleat_ledger::Key;
use pumicecleat_net::Lease;
use pumicecleat_policy::{PromptAffinity, part_key};
use pumicecleat_types::{CallerId, Millis, RequestId};
use pumicecleat_upstream::ChatBody;

use super::ResolvedTarget;

/// Content of a request, which is the same in every attempt.
pub(crate) struct Job {
    pub(crate) request_id: RequestId,
    pub(crate) caller: CallerId,
    pub(crate) resolved: ResolvedTarget,
    /// Time at which the head of the request arrived.
    pub(crate) received_at: Millis,
    pub(crate) deadline: Millis,
    /// Requests of higher priority are served first.
    pub(crate) priority: u8,
    /// Whether the response is streamed.
    pub(crate) stream: bool,
    /// Maximum number of tokens in the response; 1 for a plain service.
    pub(crate) max_tokens: u32,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) retry_mode: RetryMode,
    pub(crate) body: RequestBody,
    /// Affinity of the prompt of a chat request.
    pub(crate) prompt: Option<PromptAffinity>,
    /// Memory of the forms in which the body is held for an attempt.
    pub(crate) lease: Lease,
}

/// Body of a request.
pub(crate) enum RequestBody {
    /// Body of a chat request.
    Chat(Box<ChatBody>),
    /// Body of a call of a plain service.
    Plain(Bytes),
}

/// Whether a request may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryMode {
    /// Always, because the request is idempotent.
    Idempotent,
    /// Once, because the sides use the idempotency key to determine which attempt took effect.
    OnceByKey,
    /// Never.
    Never,
}

impl Job {
    /// Requested model by its name at the engine; `None` for a plain service.
    pub(crate) fn engine_name(&self) -> Option<&str> {
        self.resolved.engine_name.as_deref()
    }

    /// Time left at `now`.
    pub(crate) fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Priority for the engine, where lower values are served first.
    pub(crate) fn engine_priority(&self) -> i32 {
        -i32::from(self.priority)
    }

    /// Key by which sides are ranked for this request: that of the part to which its idempotency
    /// key belongs, if the keys of the pool have several parts. Calls of one part go to the same
    /// side where possible, so that few sides read that part.
    pub(crate) fn affinity_key(&self) -> Option<u64> {
        let key_parts = self.resolved.key_parts;
        if key_parts == 1 || self.retry_mode != RetryMode::OnceByKey {
            return None;
        }
        // Every side refuses an invalid key, so the choice does not matter.
        let key = Key::parse(&self.caller, self.idempotency_key.as_deref()?).ok()?;
        Some(part_key(&self.resolved.pool, key.partition(key_parts)))
    }

    /// Body that is sent to the upstream.
    pub(crate) fn upstream_body(&self) -> Vec<u8> {
        match &self.body {
            RequestBody::Chat(chat) => chat.render(
                self.engine_name().unwrap_or_default(),
                self.engine_priority(),
            ),
            RequestBody::Plain(bytes) => bytes.to_vec(),
        }
    }
}
