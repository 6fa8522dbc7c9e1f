//! Parsing and validation of a caller's chat request body.

use serde_json::value::RawValue;

use super::depth::nesting_depth;
use super::fields::{Fields, read_raw};
use super::message::check_message;
use super::{ChatBodyError, ChatLimits, FieldIssue};

/// A chat request body in the OpenAI format. Fields that are not read here are kept verbatim.
#[derive(Clone, Debug)]
pub struct ChatBody {
    pub(super) fields: Fields,
    pub(super) messages: Vec<Box<RawValue>>,
    model: String,
    stream: bool,
    pub(super) choices: u64,
    stops: Vec<String>,
    pub(super) last_role: String,
}

impl ChatBody {
    /// Parses a body and checks it against `limits`.
    ///
    /// # Errors
    /// [`ChatBodyError`] with the problem and its location.
    pub fn parse(bytes: &[u8], limits: &ChatLimits) -> Result<Self, ChatBodyError> {
        let text = check_text(bytes, limits)?;
        let fields = Fields::parse(text)?;
        let messages = read_messages(&fields, limits)?;
        let last_role = check_messages(&messages)?;
        fields.read_count("max_tokens", limits.tokens)?;
        fields.read_count("max_completion_tokens", limits.tokens)?;
        Ok(Self {
            model: read_model(&fields)?,
            stream: fields.read("stream", "true or false")?.unwrap_or(false),
            choices: fields.read_count("n", limits.choices.min(64))?.unwrap_or(1),
            stops: read_stops(&fields, limits)?,
            messages,
            last_role,
            fields,
        })
    }

    /// Model name given by the caller.
    #[must_use]
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Whether the response is streamed.
    #[must_use]
    pub fn stream(&self) -> bool {
        self.stream
    }

    /// Stop strings, which end the response.
    #[must_use]
    pub fn stops(&self) -> &[String] {
        &self.stops
    }
}

fn check_text<'a>(bytes: &'a [u8], limits: &ChatLimits) -> Result<&'a str, ChatBodyError> {
    let limit = limits.bytes;
    if bytes.len() > limit {
        return Err(ChatBodyError::TooLong { limit });
    }
    let text = std::str::from_utf8(bytes).map_err(|e| ChatBodyError::Encoding {
        at: e.valid_up_to(),
    })?;
    let limit = limits.depth;
    if nesting_depth(text) > limit {
        return Err(ChatBodyError::TooDeep { limit });
    }
    Ok(text)
}

fn read_model(fields: &Fields) -> Result<String, ChatBodyError> {
    let model: Option<String> = fields.read("model", "a string")?;
    match model {
        None => Err(ChatBodyError::field("model", FieldIssue::Missing)),
        Some(model) if model.is_empty() => Err(ChatBodyError::field("model", FieldIssue::Empty)),
        Some(model) => Ok(model),
    }
}

fn read_messages(
    fields: &Fields,
    limits: &ChatLimits,
) -> Result<Vec<Box<RawValue>>, ChatBodyError> {
    let name = "messages";
    let limit = limits.messages;
    let messages: Option<Vec<Box<RawValue>>> = fields.read(name, "an array")?;
    match messages {
        None => Err(ChatBodyError::field(name, FieldIssue::Missing)),
        Some(m) if m.is_empty() => Err(ChatBodyError::field(name, FieldIssue::Empty)),
        Some(m) if m.len() > limit => {
            Err(ChatBodyError::field(name, FieldIssue::TooMany { limit }))
        }
        Some(m) => Ok(m),
    }
}

/// Checks all messages and returns the role of the last one.
fn check_messages(messages: &[Box<RawValue>]) -> Result<String, ChatBodyError> {
    let mut last = String::new();
    for (at, message) in messages.iter().enumerate() {
        last = check_message(message, &format!("messages[{at}]"))?;
    }
    Ok(last)
}

fn read_stops(fields: &Fields, limits: &ChatLimits) -> Result<Vec<String>, ChatBodyError> {
    let name = "stop";
    let limit = limits.stops;
    let Some(raw) = fields.get(name) else {
        return Ok(Vec::new());
    };
    if raw.get().starts_with('"') {
        return Ok(vec![read_raw(raw, name, "a string")?]);
    }
    let stops: Vec<String> = read_raw(raw, name, "a string or an array of strings")?;
    if stops.len() > limit {
        return Err(ChatBodyError::field(name, FieldIssue::TooMany { limit }));
    }
    Ok(stops)
}
