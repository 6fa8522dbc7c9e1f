//! Which conversation a chat belongs to, for affinity to what an engine has cached of it.
//!
//! Only a hash and a length leave this module. A message counts by what engines make a prompt of: its
//! role, text and calls, whatever its spacing, escapes and other fields.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use super::ChatBody;
use super::message::ASSISTANT;

/// Roles of the messages that open a chat.
const OPENING: [&str; 2] = ["system", "developer"];

/// Field that engines put before the messages.
const TOOLS: &str = "tools";

/// Conversation of a chat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Conversation {
    /// Hash that all its turns share: of the tools, the opening and the message after it.
    pub root_hash: u64,
    /// Length of the texts up to the last answer, bytes; 0 in a first turn.
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
    /// Conversation, with a hash that differs by `seed`.
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
        update(&mut hash, tools.map_or("", RawValue::get));
        for raw in &self.messages {
            // Checked messages always read.
            let Ok(message) = serde_json::from_str::<Message<'_>>(raw.get()) else {
                break;
            };
            message.update(&mut hash);
            if !OPENING.contains(&message.role.as_ref()) {
                break;
            }
        }
        hash.digest()
    }

    fn history_bytes(&self) -> u64 {
        let answer = |raw: &RawValue| {
            let read = serde_json::from_str::<Message<'_>>(raw.get());
            read.is_ok_and(|message| message.role == ASSISTANT)
        };
        let last = self.messages.iter().rposition(|raw| answer(raw));
        let before = last.map_or(0, |at| at + 1);
        let lengths = self.messages[..before].iter().map(|raw| raw.get().len());
        lengths.sum::<usize>() as u64
    }
}

impl Message<'_> {
    fn update(&self, hash: &mut Xxh3) {
        update(hash, &self.role);
        let content = self.content.map_or("", RawValue::get);
        let text = serde_json::from_str::<Cow<'_, str>>(content);
        update(hash, text.as_deref().unwrap_or(content));
        update(hash, self.tool_calls.map_or("", RawValue::get));
    }
}

/// Adds a text with its length, so that no two lists of texts run into one.
fn update(hash: &mut Xxh3, text: &str) {
    hash.update(&(text.len() as u64).to_le_bytes());
    hash.update(text.as_bytes());
}
