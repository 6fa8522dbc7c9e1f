//! A chat's prompt as the choice of upstream sees it.

use pumicecleat_policy::PromptAffinity;
use pumicecleat_upstream::ChatBody;

/// Bytes of text to a token, about; in scripts that take more, it only weighs the prompt more.
const BYTES_PER_TOKEN: u64 = 4;

/// Prompt of a chat whose engine's cache is told apart by `seed`.
pub(crate) fn prompt_affinity(chat: &ChatBody, seed: u64) -> PromptAffinity {
    let thread = chat.thread(seed);
    let earlier_tokens = thread.earlier / BYTES_PER_TOKEN;
    PromptAffinity {
        conversation_hash: thread.root,
        earlier_tokens: u32::try_from(earlier_tokens).unwrap_or(u32::MAX),
    }
}
