//! Fields of a body, in their original order and with their original text.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_with::{Map, serde_as};

use super::{ChatBodyError, FieldIssue};

/// Fields of a JSON object.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Fields {
    #[serde_as(as = "Map<_, _>")]
    list: Vec<(String, Box<RawValue>)>,
}

impl Fields {
    /// Parses the object in `text`.
    pub(super) fn parse(text: &str) -> Result<Self, ChatBodyError> {
        let fields: Self = serde_json::from_str(text).map_err(|e| ChatBodyError::Json {
            detail: e.to_string(),
        })?;
        fields.check_unique()?;
        Ok(fields)
    }

    fn check_unique(&self) -> Result<(), ChatBodyError> {
        let mut names: Vec<&str> = self.list.iter().map(|(name, _)| name.as_str()).collect();
        names.sort_unstable();
        match names.windows(2).find(|w| w[0] == w[1]) {
            Some(twice) => Err(ChatBodyError::field(twice[0], FieldIssue::Duplicate)),
            None => Ok(()),
        }
    }

    /// Raw value of a field, unless it is missing or null.
    pub(super) fn get(&self, name: &str) -> Option<&RawValue> {
        let found = self.list.iter().find(|(n, _)| n == name);
        let raw = found.map(|(_, raw)| raw.as_ref())?;
        (raw.get() != "null").then_some(raw)
    }

    /// Decoded value of a field, unless it is missing or null.
    pub(super) fn read<T: DeserializeOwned>(
        &self,
        name: &str,
        expected: &'static str,
    ) -> Result<Option<T>, ChatBodyError> {
        let Some(raw) = self.get(name) else {
            return Ok(None);
        };
        read_raw(raw, name, expected).map(Some)
    }

    /// Number from 1 to `high`, unless the field is missing or null.
    pub(super) fn read_count(&self, name: &str, high: u64) -> Result<Option<u64>, ChatBodyError> {
        match self.read::<u64>(name, "a whole number")? {
            Some(n) if n == 0 || n > high => {
                Err(ChatBodyError::field(name, FieldIssue::Range { high }))
            }
            count => Ok(count),
        }
    }

    /// Replaces a field in its position, or appends it.
    pub(super) fn set(&mut self, name: &str, raw: Box<RawValue>) {
        match self.list.iter_mut().find(|(n, _)| n == name) {
            Some((_, old)) => *old = raw,
            None => self.list.push((name.to_owned(), raw)),
        }
    }
}

/// Decodes a raw value; `path` is its location, for errors.
pub(super) fn read_raw<'a, T: Deserialize<'a>>(
    raw: &'a RawValue,
    path: &str,
    expected: &'static str,
) -> Result<T, ChatBodyError> {
    let read = serde_json::from_str(raw.get());
    read.map_err(|_| ChatBodyError::field(path, FieldIssue::Type { expected }))
}
