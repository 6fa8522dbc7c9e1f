//! Check of one message of a body.

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;

use super::fields::read_raw;
use super::{ChatBodyError, FieldIssue};

const OBJECT: FieldIssue = FieldIssue::Type {
    expected: "an object",
};
const TEXT: &str = "a string";

/// Role of a message that an engine wrote.
pub(super) const ASSISTANT: &str = "assistant";

#[derive(Deserialize)]
struct RawMessage<'a> {
    #[serde(borrow)]
    role: Option<&'a RawValue>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
    tool_calls: Option<IgnoredAny>,
    function_call: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct RawPart<'a> {
    #[serde(rename = "type", borrow)]
    kind: Option<&'a RawValue>,
}

/// Role of the message at `path`, if it is one.
pub(super) fn check_message(raw: &RawValue, path: &str) -> Result<String, ChatBodyError> {
    let message: RawMessage<'_> = read_object(raw, path)?;
    let role_path = format!("{path}.role");
    let role = read_text(message.role, &role_path)?;
    let content_path = format!("{path}.content");
    match message.content {
        Some(content) => check_content(content, &content_path)?,
        None if role == ASSISTANT && message.has_calls() => {}
        None => return Err(ChatBodyError::field(content_path, FieldIssue::Missing)),
    }
    Ok(role)
}

impl RawMessage<'_> {
    fn has_calls(&self) -> bool {
        self.tool_calls.is_some() || self.function_call.is_some()
    }
}

fn check_content(content: &RawValue, path: &str) -> Result<(), ChatBodyError> {
    if !content.get().starts_with('[') {
        return read_raw::<String>(content, path, "a string or an array").map(|_| ());
    }
    let parts: Vec<&RawValue> = read_raw(content, path, "an array")?;
    for (at, part) in parts.into_iter().enumerate() {
        let path = format!("{path}[{at}]");
        let part: RawPart<'_> = read_object(part, &path)?;
        read_text(part.kind, &format!("{path}.type"))?;
    }
    Ok(())
}

fn read_text(raw: Option<&RawValue>, path: &str) -> Result<String, ChatBodyError> {
    let Some(raw) = raw else {
        return Err(ChatBodyError::field(path, FieldIssue::Missing));
    };
    let text: String = read_raw(raw, path, TEXT)?;
    if text.is_empty() {
        return Err(ChatBodyError::field(path, FieldIssue::Empty));
    }
    Ok(text)
}

/// Reads an object; the derived reader alone would also take an array of its fields.
fn read_object<'a, T: Deserialize<'a>>(raw: &'a RawValue, path: &str) -> Result<T, ChatBodyError> {
    if !raw.get().starts_with('{') {
        return Err(ChatBodyError::field(path, OBJECT));
    }
    read_raw(raw, path, "an object with each field once")
}
