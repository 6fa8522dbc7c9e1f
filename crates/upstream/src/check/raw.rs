//! JSON of engine responses. Strings are borrowed; fields that are not needed are skipped.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;
use snafu::ResultExt;

use super::error::{EncodingSnafu, EngineSnafu, JsonSnafu};
use super::{ResponseErrorKind, Usage};

/// Maximum length of an engine's message in an error, characters.
const MAX_DETAIL_CHARS: usize = 200;

/// String that is copied only if it has escapes.
#[derive(Deserialize)]
#[serde(transparent)]
pub(super) struct Text<'a>(#[serde(borrow)] pub(super) Cow<'a, str>);

/// A response, or an event of a streamed one.
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

/// A choice of a response or of an event.
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

/// Content of a choice.
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
    /// Whether it has content other than text.
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

/// Decodes the response in `data`. An error object gives [`ResponseErrorKind::Engine`].
pub(super) fn read_response(data: &[u8]) -> Result<RawResponse<'_>, ResponseErrorKind> {
    // The parser doesn't check the encoding of skipped strings.
    let Ok(text) = std::str::from_utf8(data) else {
        return EncodingSnafu.fail();
    };
    let response = parse_object(text)?;
    if let Some(detail) = error_detail(&response, text) {
        return EngineSnafu { detail }.fail();
    }
    Ok(response)
}

/// Decodes an object. The derived deserializer alone would also accept an array of the fields.
fn parse_object(text: &str) -> Result<RawResponse<'_>, ResponseErrorKind> {
    if text.trim_start().starts_with('[') {
        let wrong = serde::de::Error::custom("an array, not an object");
        return Err(wrong).context(JsonSnafu);
    }
    serde_json::from_str(text).context(JsonSnafu)
}

fn error_detail(response: &RawResponse<'_>, text: &str) -> Option<String> {
    let detail = match response.error {
        Some(error) => error.get(),
        None if response.object.as_ref().is_some_and(|o| o.0 == "error") => text,
        None => return None,
    };
    Some(detail.chars().take(MAX_DETAIL_CHARS).collect())
}
