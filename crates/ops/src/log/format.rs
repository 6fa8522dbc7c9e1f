//! The two formats of a log line: text for people, JSON for programs.

use std::fmt::{self, Write};

use chrono::{DateTime, SecondsFormat, Utc};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Record, StringBuf};

use super::{Event, Field, FieldValue};

/// Longest text value in a line; a longer one is truncated.
const MAX_VALUE_BYTES: usize = 1024;

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, origin, code and name, then the fields as `name=value`.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Adds the time to a rendered event, on the writer thread.
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
        let result = match self.format {
            LogFormat::Text => writeln!(line, "{time} {event}"),
            LogFormat::Json => writeln!(line, "{{\"time\":\"{time}\",{event}}}"),
        };
        result.map_err(spdlog::Error::FormatRecord)
    }
}

/// Renders a line without its time.
pub(super) fn render(
    format: LogFormat,
    origin: &str,
    event: &Event,
    fields: &[Field<'_>],
) -> String {
    let mut line = String::with_capacity(160);
    // Writing to a string can't fail. If the `Display` of a value fails, the line ends there.
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
            FieldValue::Shown(value) => write_text(line, &to_text(value)?)?,
            FieldValue::Count(n) => write!(line, "{n}")?,
            FieldValue::Signed(n) => write!(line, "{n}")?,
            FieldValue::Real(n) => write!(line, "{n}")?,
            FieldValue::Flag(b) => write!(line, "{b}")?,
        }
    }
    Ok(())
}

/// Writes a value as it is if it is a single plain word, otherwise quoted and escaped.
fn write_text(line: &mut String, text: &str) -> fmt::Result {
    let text = truncate(text);
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    if !text.is_empty() && text.chars().all(plain) {
        line.write_str(text)
    } else {
        line.write_str(&quote(text))
    }
}

fn render_json(
    line: &mut String,
    origin: &str,
    event: &Event,
    fields: &[Field<'_>],
) -> fmt::Result {
    let origin = quote(origin);
    let Event {
        code, name, level, ..
    } = event;
    write!(
        line,
        r#""level":"{level}","origin":{origin},"code":"{code}","event":"{name}","fields":{{"#
    )?;
    for (i, field) in fields.iter().enumerate() {
        let comma = if i == 0 { "" } else { "," };
        write!(line, "{comma}{}:", quote(field.name))?;
        match field.value {
            FieldValue::Text(text) => line.write_str(&quote(truncate(text)))?,
            FieldValue::Shown(value) => line.write_str(&quote(truncate(&to_text(value)?)))?,
            FieldValue::Count(n) => write!(line, "{n}")?,
            FieldValue::Signed(n) => write!(line, "{n}")?,
            FieldValue::Real(n) if n.is_finite() => write!(line, "{n}")?,
            FieldValue::Real(_) => line.write_str("null")?,
            FieldValue::Flag(b) => write!(line, "{b}")?,
        }
    }
    line.write_str("}")
}

fn to_text(value: &dyn fmt::Display) -> Result<String, fmt::Error> {
    let mut text = String::new();
    write!(text, "{value}")?;
    Ok(text)
}

fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_VALUE_BYTES)]
}
