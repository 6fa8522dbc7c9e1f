//! What a caller asked.

use pumicecleat_ledger::Key;
use pumicecleat_policy::{PromptAffinity, part_key};
use pumicecleat_types::{CallerId, Millis, RequestId};
use pumicecleat_upstream::ChatBody;

use super::Resolved;

/// What a caller asked, the same in every attempt.
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) caller: CallerId,
    pub(crate) resolved: Resolved,
    /// When the request's head came.
    pub(crate) arrived: Millis,
    pub(crate) deadline: Millis,
    /// Higher first.
    pub(crate) priority: u8,
    /// Answer token by token.
    pub(crate) stream: bool,
    /// Tokens the answer may have; 1 for a plain service.
    pub(crate) tokens: u32,
    pub(crate) key: Option<String>,
    pub(crate) repeat: Repeat,
    pub(crate) content: Content,
    /// Prompt, of a chat.
    pub(crate) prompt: Option<PromptAffinity>,
}

/// Body of a request.
pub(crate) enum Content {
    /// Of a chat request.
    Chat(Box<ChatBody>),
    /// Of a call of a plain service.
    Plain(Vec<u8>),
}

/// Whether an attempt that may have run can be followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// Idempotent.
    Freely,
    /// Once, as the sides settle by the key what took effect.
    ByKey,
    /// Never.
    Never,
}

impl Job {
    /// Engine name asked for, if a model is.
    pub(crate) fn engine(&self) -> Option<&str> {
        self.resolved.engine.as_deref()
    }

    /// Time left at `now`.
    pub(crate) fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Priority in the engines' terms: lower first.
    pub(crate) fn engine_priority(&self) -> i32 {
        -i32::from(self.priority)
    }

    /// Key of the part of the pool's keys that the request's is in, if there are several: calls of
    /// one part go to the same side where they can, so that few sides read it.
    pub(crate) fn home(&self) -> Option<u64> {
        let parts = self.resolved.parts;
        if parts == 1 || self.repeat != Repeat::ByKey {
            return None;
        }
        // A text that is no key is refused by the side, whichever it is.
        let key = Key::parse(&self.caller, self.key.as_deref()?).ok()?;
        Some(part_key(&self.resolved.pool, key.partition(parts)))
    }

    /// Body for the upstream.
    pub(crate) fn body(&self) -> Vec<u8> {
        match &self.content {
            Content::Chat(chat) => {
                chat.render(self.engine().unwrap_or_default(), self.engine_priority())
            }
            Content::Plain(bytes) => bytes.clone(),
        }
    }
}
