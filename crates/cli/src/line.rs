//! One line of a process's log.

use chrono::DateTime;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Field with the request's id.
const REQUEST: &str = "request";

/// Fields that tell how long ago the request arrived at the process that logs.
const AGES: [&str; 2] = ["total_ms", "age_ms"];

/// Field that tells how long ago it arrived at another process.
const WAITED: &str = "waited_ms";

#[derive(Deserialize)]
struct Body {
    time: String,
    origin: String,
    code: String,
    event: String,
    #[serde(default)]
    fields: Map<String, Value>,
}

/// A line with its time.
pub(crate) struct Line {
    /// Time by the clock of the process that logged it, ms since 1970.
    pub(crate) time_ms: i64,
    pub(crate) origin: String,
    body: Body,
}

impl Line {
    /// Reads a line; what stands before the JSON, as a collector puts it there, is passed over. `None`
    /// if there is no line of ours in it: other programs may write to the same file.
    pub(crate) fn read(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let body: Body = serde_json::from_str(json).ok()?;
        let time = DateTime::parse_from_rfc3339(&body.time).ok()?;
        Some(Self {
            time_ms: time.timestamp_millis(),
            origin: body.origin.clone(),
            body,
        })
    }

    pub(crate) fn request(&self) -> Option<&str> {
        self.body.fields.get(REQUEST)?.as_str()
    }

    pub(crate) fn event(&self) -> String {
        format!("{} {}", self.body.code, self.body.event)
    }

    pub(crate) fn fields(&self) -> String {
        let others = self.body.fields.iter().filter(|(name, _)| *name != REQUEST);
        let pairs: Vec<String> = others
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        pairs.join(" ")
    }

    /// When the request arrived at its entry, and the time of this line, if it is the entry's.
    pub(crate) fn span(&self) -> Option<(i64, i64)> {
        let age = AGES.iter().find_map(|name| self.number(name))?;
        Some((self.time_ms - age, self.time_ms))
    }

    /// How long the request had waited at a process that is not its entry.
    pub(crate) fn waited_ms(&self) -> i64 {
        self.number(WAITED).unwrap_or_default()
    }

    /// Number of the event.
    pub(crate) fn code(&self) -> &str {
        &self.body.code
    }

    pub(crate) fn number(&self, name: &str) -> Option<i64> {
        self.body.fields.get(name)?.as_i64()
    }

    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.body.fields.get(name)?.as_str()
    }

    pub(crate) fn flag(&self, name: &str) -> Option<bool> {
        self.body.fields.get(name)?.as_bool()
    }
}
