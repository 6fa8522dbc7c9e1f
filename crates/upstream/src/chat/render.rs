//! Rendering of a caller's body for an engine.

use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use super::fields::Fields;
use super::message::ASSISTANT;
use super::{ChatBody, ResumeError};
use crate::Progress;

/// Fields with the maximum number of tokens of a response.
const TOKEN_LIMITS: [&str; 2] = ["max_tokens", "max_completion_tokens"];

/// Field with the minimum number of tokens of a response.
const MIN_TOKENS: &str = "min_tokens";

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

impl ChatBody {
    /// Body with the engine's name of the model and a priority. Requests with a lower `priority`
    /// are scheduled first.
    #[must_use]
    pub fn render(&self, model: &str, priority: i32) -> Vec<u8> {
        encode(&self.fields_for(model, priority))
    }

    /// Body that makes an engine continue the response after `progress`.
    ///
    /// # Errors
    /// [`ResumeError`] if the result could differ from a response of a single engine.
    pub fn render_resumed(
        &self,
        model: &str,
        priority: i32,
        progress: &Progress,
    ) -> Result<Vec<u8>, ResumeError> {
        self.resumable()?;
        self.check_progress(progress)?;
        let mut fields = self.fields_for(model, priority);
        if progress.text.is_empty() {
            return Ok(encode(&fields));
        }
        for name in TOKEN_LIMITS {
            lower_limit(&mut fields, name, progress.tokens)?;
        }
        lower_min_tokens(&mut fields, progress.tokens);
        let messages = self.messages_with(&progress.text);
        fields.set("messages", to_raw(&messages));
        fields.set("continue_final_message", to_raw(&true));
        fields.set("add_generation_prompt", to_raw(&false));
        Ok(encode(&fields))
    }

    fn fields_for(&self, model: &str, priority: i32) -> Fields {
        let mut fields = self.fields.clone();
        fields.set("model", to_raw(&model));
        fields.set("priority", to_raw(&priority));
        fields
    }

    fn messages_with(&self, content: &str) -> Vec<Box<RawValue>> {
        let role = ASSISTANT;
        let last = to_raw(&Message { role, content });
        let mut messages = self.messages.clone();
        messages.push(last);
        messages
    }
}

fn lower_limit(fields: &mut Fields, name: &str, tokens: u64) -> Result<(), ResumeError> {
    let Ok(Some(limit)) = fields.read::<u64>(name, "") else {
        return Ok(());
    };
    if limit <= tokens {
        return Err(ResumeError::NoTokensLeft);
    }
    fields.set(name, to_raw(&(limit - tokens)));
    Ok(())
}

fn lower_min_tokens(fields: &mut Fields, tokens: u64) {
    if let Ok(Some(min_tokens)) = fields.read::<u64>(MIN_TOKENS, "") {
        fields.set(MIN_TOKENS, to_raw(&min_tokens.saturating_sub(tokens)));
    }
}

fn to_raw<T: Serialize + ?Sized>(value: &T) -> Box<RawValue> {
    // Serialization of strings, numbers and lists of valid JSON can't fail.
    to_raw_value(value).unwrap_or_default()
}

fn encode(fields: &Fields) -> Vec<u8> {
    // All keys are strings, so serialization can't fail.
    serde_json::to_vec(fields).unwrap_or_default()
}
