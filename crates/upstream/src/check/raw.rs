//! Engines' JSON as far as it is read; strings are borrowed, the rest is skipped.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;
use snafu::ResultExt;

use super::fault::{EncodingSnafu, EngineSnafu, JsonSnafu};
use super::{ResponseErrorKind, Usage};

/// Engine's words kept in an error, characters.
const DETAIL_LIMIT: usize = 200;

/// String that is copied only if it holds escapes.
#[derive(Deserialize)]
#[serde(transparent)]
pub(super) struct Text<'a>(#[serde(borrow)] pub(super) Cow<'a, str>);

/// An answer, or an event of one.
#[derive(Deserialize)]
pub(super) struct RawResponse<'a> {
    #[serde(borrow)]
    id: Option<Text<'a>>,
    #[serde(borrow)]
    object: Option<Text<'a>>,
    #[serde(borrow)]
    model: Option<Text<'a>>,
    #[serde(borrow, default)]
    pub(super) choices: Vec<RawChoice<'a>>,
    pub(super) usage: Option<Usage>,
    #[serde(borrow)]
    error: Option<&'a RawValue>,
}

/// A choice, of an event or of a whole answer.
#[derive(Deserialize)]
pub(super) struct RawChoice<'a> {
    #[serde(default)]
    pub(super) index: u32,
    #[serde(borrow)]
    pub(super) delta: Option<RawMessage<'a>>,
    #[serde(borrow)]
    pub(super) message: Option<RawMessage<'a>>,
    #[serde(borrow)]
    pub(super) finish_reason: Option<Text<'a>>,
}

/// Text of a choice.
#[derive(Deserialize)]
pub(super) struct RawMessage<'a> {
    #[serde(borrow)]
    pub(super) content: Option<Text<'a>>,
    tool_calls: Option<IgnoredAny>,
    function_call: Option<IgnoredAny>,
    reasoning: Option<IgnoredAny>,
    reasoning_content: Option<IgnoredAny>,
    refusal: Option<IgnoredAny>,
}

impl RawMessage<'_> {
    /// Whether it holds more than text.
    pub(super) fn has_non_text(&self) -> bool {
        let parts = [
            &self.tool_calls,
            &self.function_call,
            &self.reasoning,
            &self.reasoning_content,
            &self.refusal,
        ];
        parts.iter().any(|p| p.is_some())
    }
}

impl RawResponse<'_> {
    /// Id, empty if there is none.
    pub(super) fn id(&self) -> &str {
        self.id.as_ref().map_or("", |id| id.0.as_ref())
    }

    /// Model, empty if there is none.
    pub(super) fn model(&self) -> &str {
        self.model.as_ref().map_or("", |m| m.0.as_ref())
    }
}

/// Answer in `data`, if it is one and no error.
pub(super) fn read_response(data: &[u8]) -> Result<RawResponse<'_>, ResponseErrorKind> {
    // Skipped strings are not checked by the parser.
    let Ok(text) = std::str::from_utf8(data) else {
        return EncodingSnafu.fail();
    };
    let answer = parse_object(text)?;
    if let Some(detail) = error_of(&answer, text) {
        return EngineSnafu { detail }.fail();
    }
    Ok(answer)
}

/// Parses an object; the derived reader alone would also take an array of its fields.
fn parse_object(text: &str) -> Result<RawResponse<'_>, ResponseErrorKind> {
    if text.trim_start().starts_with('[') {
        let wrong = serde::de::Error::custom("an array, not an object");
        return Err(wrong).context(JsonSnafu);
    }
    serde_json::from_str(text).context(JsonSnafu)
}

fn error_of(answer: &RawResponse<'_>, text: &str) -> Option<String> {
    let words = match answer.error {
        Some(error) => error.get(),
        None if answer.object.as_ref().is_some_and(|o| o.0 == "error") => text,
        None => return None,
    };
    Some(words.chars().take(DETAIL_LIMIT).collect())
}
