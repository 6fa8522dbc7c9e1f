//! Prompt affinity of chat requests, by which upstreams are chosen.

use pumicecleat_policy::PromptAffinity;
use pumicecleat_upstream::ChatBody;

/// Approximate number of bytes per token. In scripts with more bytes per token, the number of
/// tokens is overestimated, which only gives the prompt a higher weight.
const BYTES_PER_TOKEN: u64 = 4;

/// Prompt affinity of a chat request. `seed` distinguishes the prefix caches of engines.
pub(crate) fn prompt_affinity(chat: &ChatBody, seed: u64) -> PromptAffinity {
    let conversation = chat.conversation(seed);
    let earlier_tokens = conversation.history_bytes / BYTES_PER_TOKEN;
    PromptAffinity {
        conversation_hash: conversation.root_hash,
        earlier_tokens: u32::try_from(earlier_tokens).unwrap_or(u32::MAX),
    }
}
