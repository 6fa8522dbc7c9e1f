//! Rewrites the events of a resumed response to match those already forwarded.
//!
//! The caller sees a single response: one id, one creation time, one opening role, and one token
//! count over all attempts. Only the events of resumed streams are parsed and serialized again.

use pumicecleat_upstream::{Chunk, Progress};
use serde_json::{Map, Value, json};

/// Matches events to the response of the first attempt.
#[derive(Debug)]
pub(super) struct Splice {
    /// Fields of the first response that all events carry.
    shared_fields: Map<String, Value>,
    /// Number of tokens forwarded before.
    earlier_tokens: u64,
}

/// Fields that have the same value in all events of a response.
const SHARED_FIELDS: [&str; 3] = ["id", "created", "system_fingerprint"];

impl Splice {
    /// Matches events to a response that began with `first_event` and advanced to `progress`.
    pub(super) fn new(first_event: &[u8], progress: &Progress) -> Self {
        let event = read_event(first_event).unwrap_or_default();
        let shared_fields = event
            .into_iter()
            .filter(|(name, _)| SHARED_FIELDS.contains(&name.as_str()));
        Self {
            shared_fields: shared_fields.collect(),
            earlier_tokens: progress.tokens,
        }
    }

    /// Rewrites an event. Returns false if nothing of it remains to be forwarded.
    pub(super) fn rewrite(&mut self, chunk: &mut Chunk) -> bool {
        let Some(mut event) = read_event(&chunk.raw) else {
            return true;
        };
        for (name, value) in &self.shared_fields {
            event.insert(name.clone(), value.clone());
        }
        self.adjust_usage(&mut event);
        if let Some(usage) = &mut chunk.usage {
            usage.completion += self.earlier_tokens;
        }
        let had_role = remove_role(&mut event);
        if had_role && is_empty_event(&event, chunk) {
            return false;
        }
        chunk.raw = write_event(&event);
        true
    }

    /// Moves the tokens of the earlier text from the prompt to the completion, because the prompt
    /// of a resumed attempt contains that text.
    fn adjust_usage(&self, event: &mut Map<String, Value>) {
        let Some(Value::Object(usage)) = event.get_mut("usage") else {
            return;
        };
        let count = |usage: &Map<String, Value>, name| usage.get(name).and_then(Value::as_u64);
        let prompt = count(usage, "prompt_tokens").unwrap_or(0);
        let completion = count(usage, "completion_tokens").unwrap_or(0);
        let prompt = prompt.saturating_sub(self.earlier_tokens);
        let completion = completion + self.earlier_tokens;
        usage.insert("prompt_tokens".to_owned(), json!(prompt));
        usage.insert("completion_tokens".to_owned(), json!(completion));
        usage.insert("total_tokens".to_owned(), json!(prompt + completion));
    }
}

/// Removes the opening role. Returns whether there was one.
fn remove_role(event: &mut Map<String, Value>) -> bool {
    let choice = event.get_mut("choices").and_then(|c| c.get_mut(0));
    let delta = choice.and_then(|c| c.get_mut("delta"));
    let delta = delta.and_then(Value::as_object_mut);
    delta.is_some_and(|d| d.remove("role").is_some())
}

/// Whether an event is empty without its role.
fn is_empty_event(event: &Map<String, Value>, chunk: &Chunk) -> bool {
    let usage = event.get("usage").is_some_and(|u| !u.is_null());
    chunk.content.is_empty() && chunk.finish_reason.is_none() && !chunk.non_text && !usage
}

fn read_event(raw: &[u8]) -> Option<Map<String, Value>> {
    let text = std::str::from_utf8(raw).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<&str> = lines.map(str::trim_start).collect();
    serde_json::from_str(&data.join("\n")).ok()
}

fn write_event(event: &Map<String, Value>) -> Vec<u8> {
    let mut raw = b"data: ".to_vec();
    // Serializing a map of JSON values does not fail.
    let data = serde_json::to_vec(event).unwrap_or_default();
    raw.extend_from_slice(&data);
    raw.extend_from_slice(b"\n\n");
    raw
}
