//! Bodies for an engine, from a caller's.

use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use super::fields::Fields;
use super::message::ASSISTANT;
use super::{ChatBody, ResumeError};
use crate::Progress;

/// Fields that limit the tokens of an answer.
const TOKEN_LIMITS: [&str; 2] = ["max_tokens", "max_completion_tokens"];

/// Field that demands tokens of an answer.
const TOKEN_FLOOR: &str = "min_tokens";

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

impl ChatBody {
    /// Body for the engine name `model`; of two requests the one with the lower `priority` goes
    /// first.
    #[must_use]
    pub fn render(&self, model: &str, priority: i32) -> Vec<u8> {
        write(&self.fields_for(model, priority))
    }

    /// Body that makes an engine go on after `progress`.
    ///
    /// # Errors
    /// [`ResumeError`] if the answer would not be what one engine had given.
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
            return Ok(write(&fields));
        }
        for name in TOKEN_LIMITS {
            lower_limit(&mut fields, name, progress.tokens)?;
        }
        lower_floor(&mut fields, progress.tokens);
        let messages = self.messages_with(&progress.text);
        fields.set("messages", raw(&messages));
        fields.set("continue_final_message", raw(&true));
        fields.set("add_generation_prompt", raw(&false));
        Ok(write(&fields))
    }

    fn fields_for(&self, model: &str, priority: i32) -> Fields {
        let mut fields = self.fields.clone();
        fields.set("model", raw(&model));
        fields.set("priority", raw(&priority));
        fields
    }

    fn messages_with(&self, content: &str) -> Vec<Box<RawValue>> {
        let role = ASSISTANT;
        let last = raw(&Message { role, content });
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
        return Err(ResumeError::Spent);
    }
    fields.set(name, raw(&(limit - tokens)));
    Ok(())
}

fn lower_floor(fields: &mut Fields, tokens: u64) {
    if let Ok(Some(floor)) = fields.read::<u64>(TOKEN_FLOOR, "") {
        fields.set(TOKEN_FLOOR, raw(&floor.saturating_sub(tokens)));
    }
}

fn raw<T: Serialize + ?Sized>(value: &T) -> Box<RawValue> {
    // Text, numbers and lists of valid JSON always encode.
    to_raw_value(value).unwrap_or_default()
}

fn write(fields: &Fields) -> Vec<u8> {
    // Fields have text keys only, so that they always encode.
    serde_json::to_vec(fields).unwrap_or_default()
}
