//! The two forms of a line: text for people, JSON for programs.

use std::fmt::{self, Write};

use chrono::{DateTime, SecondsFormat, Utc};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Record, StringBuf};

use super::{Event, Field, FieldValue};

/// Longest value in a line, bytes; what is longer is cut there.
const VALUE_LIMIT: usize = 1024;

/// Form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, origin, code, name, then `name=value`.
    #[default]
    Text,
    /// One object a line.
    Json,
}

/// Puts the time before a rendered event, on the writing thread.
#[derive(Clone)]
pub(super) struct LineFormatter {
    pub(super) format: LogFormat,
}

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        line: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let time =
            DateTime::<Utc>::from(record.time()).to_rfc3339_opts(SecondsFormat::Millis, true);
        let event = record.payload();
        let written = match self.format {
            LogFormat::Text => writeln!(line, "{time} {event}"),
            LogFormat::Json => writeln!(line, "{{\"time\":\"{time}\",{event}}}"),
        };
        written.map_err(spdlog::Error::FormatRecord)
    }
}

/// Renders all of a line but its time.
pub(super) fn render(
    format: LogFormat,
    origin: &str,
    event: &Event,
    fields: &[Field<'_>],
) -> String {
    let mut line = String::with_capacity(160);
    // Writing to a string can't fail; a value whose `Display` fails is left as far as it got.
    let _ = match format {
        LogFormat::Text => render_text(&mut line, origin, event, fields),
        LogFormat::Json => render_json(&mut line, origin, event, fields),
    };
    line
}

fn render_text(
    line: &mut String,
    origin: &str,
    event: &Event,
    fields: &[Field<'_>],
) -> fmt::Result {
    let level = event.level.name().to_uppercase();
    write!(line, "{level:<5} {origin} {} {}", event.code, event.name)?;
    for field in fields {
        write!(line, " {}=", field.name)?;
        match field.value {
            FieldValue::Text(text) => write_text(line, text)?,
            FieldValue::Display(value) => write_text(line, &shown(value)?)?,
            FieldValue::Unsigned(n) => write!(line, "{n}")?,
            FieldValue::Signed(n) => write!(line, "{n}")?,
            FieldValue::Float(n) => write!(line, "{n}")?,
            FieldValue::Bool(b) => write!(line, "{b}")?,
        }
    }
    Ok(())
}

/// Writes a value bare if it is one plain word, else quoted and escaped.
fn write_text(line: &mut String, text: &str) -> fmt::Result {
    let text = cut(text);
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    if !text.is_empty() && text.chars().all(plain) {
        line.write_str(text)
    } else {
        line.write_str(&quoted(text))
    }
}

fn render_json(
    line: &mut String,
    origin: &str,
    event: &Event,
    fields: &[Field<'_>],
) -> fmt::Result {
    let origin = quoted(origin);
    let Event {
        code, name, level, ..
    } = event;
    write!(
        line,
        r#""level":"{level}","origin":{origin},"code":"{code}","event":"{name}","fields":{{"#
    )?;
    for (i, field) in fields.iter().enumerate() {
        let comma = if i == 0 { "" } else { "," };
        write!(line, "{comma}{}:", quoted(field.name))?;
        match field.value {
            FieldValue::Text(text) => line.write_str(&quoted(cut(text)))?,
            FieldValue::Display(value) => line.write_str(&quoted(cut(&shown(value)?)))?,
            FieldValue::Unsigned(n) => write!(line, "{n}")?,
            FieldValue::Signed(n) => write!(line, "{n}")?,
            FieldValue::Float(n) if n.is_finite() => write!(line, "{n}")?,
            FieldValue::Float(_) => line.write_str("null")?,
            FieldValue::Bool(b) => write!(line, "{b}")?,
        }
    }
    line.write_str("}")
}

fn shown(value: &dyn fmt::Display) -> Result<String, fmt::Error> {
    let mut text = String::new();
    write!(text, "{value}")?;
    Ok(text)
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

fn cut(text: &str) -> &str {
    &text[..text.floor_char_boundary(VALUE_LIMIT)]
}
