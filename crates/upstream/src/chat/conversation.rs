//! Identifies the conversation of a chat request, for affinity to engines with a cached prefix.
//!
//! Only a hash and a length leave this module. The hash covers the parts of a message that enter the
//! prompt: role, text and tool calls. Whitespace, escapes and other fields have no effect.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use super::ChatBody;
use super::message::ASSISTANT;

/// Roles of the messages that precede the first message of the user.
const OPENING_ROLES: [&str; 2] = ["system", "developer"];

/// Field that engines put before the messages in the prompt.
const TOOLS: &str = "tools";

/// Conversation of a chat request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Conversation {
    /// Hash of the tools, the opening messages and the message after them, which is the same in
    /// all turns.
    pub root_hash: u64,
    /// Length of the messages up to the last assistant message, bytes; 0 in the first turn.
    pub history_bytes: u64,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
    #[serde(borrow)]
    tool_calls: Option<&'a RawValue>,
}

impl ChatBody {
    /// Conversation of this request. Different seeds give different hashes.
    #[must_use]
    pub fn conversation(&self, seed: u64) -> Conversation {
        Conversation {
            root_hash: self.root_hash(seed),
            history_bytes: self.history_bytes(),
        }
    }

    fn root_hash(&self, seed: u64) -> u64 {
        let mut hash = Xxh3::with_seed(seed);
        let tools = self.fields.get(TOOLS);
        hash_text(&mut hash, tools.map_or("", RawValue::get));
        for raw in &self.messages {
            // Validated messages always decode.
            let Ok(message) = serde_json::from_str::<Message<'_>>(raw.get()) else {
                break;
            };
            message.hash_into(&mut hash);
            if !OPENING_ROLES.contains(&message.role.as_ref()) {
                break;
            }
        }
        hash.digest()
    }

    fn history_bytes(&self) -> u64 {
        let is_assistant = |raw: &RawValue| {
            let read = serde_json::from_str::<Message<'_>>(raw.get());
            read.is_ok_and(|message| message.role == ASSISTANT)
        };
        let last = self.messages.iter().rposition(|raw| is_assistant(raw));
        let history_len = last.map_or(0, |at| at + 1);
        let lengths = self.messages[..history_len]
            .iter()
            .map(|raw| raw.get().len());
        lengths.sum::<usize>() as u64
    }
}

impl Message<'_> {
    fn hash_into(&self, hash: &mut Xxh3) {
        hash_text(hash, &self.role);
        let content = self.content.map_or("", RawValue::get);
        let text = serde_json::from_str::<Cow<'_, str>>(content);
        hash_text(hash, text.as_deref().unwrap_or(content));
        hash_text(hash, self.tool_calls.map_or("", RawValue::get));
    }
}

/// Hashes a string with its length, so that lists of strings with the same concatenation differ.
fn hash_text(hash: &mut Xxh3, text: &str) {
    hash.update(&(text.len() as u64).to_le_bytes());
    hash.update(text.as_bytes());
}
