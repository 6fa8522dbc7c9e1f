//! Typed access to the fields of a table. Records their places, and reports missing, invalid and
//! unknown ones.

use std::collections::BTreeSet;

use toml::de::{DeTable, DeValue};

use super::notes::Diagnostics;
use super::source::Text;
use super::value::{Value, entries};
use crate::fault::{Place, Problem};

/// Table being read.
pub(super) struct Fields<'n, 't> {
    text: &'t Text<'t>,
    table: &'t DeTable<'t>,
    path: String,
    place: Place,
    known: BTreeSet<&'static str>,
    diagnostics: &'n mut Diagnostics,
}

impl<'n, 't> Fields<'n, 't> {
    /// Creates the reader of a table; reports a fault if `value` is not a table.
    pub(super) fn new(
        diagnostics: &'n mut Diagnostics,
        path: String,
        value: Value<'t>,
    ) -> Option<Self> {
        let table = value.table(diagnostics, &path)?;
        let place = diagnostics.place(&path).unwrap_or_else(|| value.place());
        Some(Self {
            text: value.text,
            table,
            path,
            place,
            known: BTreeSet::new(),
            diagnostics,
        })
    }

    /// Diagnostics, for nested values.
    pub(super) fn diagnostics(&mut self) -> &mut Diagnostics {
        self.diagnostics
    }

    /// Path of a field.
    pub(super) fn path(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    /// Returns the value of a field, and marks the field as known.
    pub(super) fn get(&mut self, name: &'static str) -> Option<Value<'t>> {
        self.known.insert(name);
        let (key, inner) = self.table.get_key_value(name)?;
        let place = self.text.place(key.span().start);
        let path = self.path(name);
        self.diagnostics.places.insert(path, place);
        Some(Value::new(self.text, inner))
    }

    fn require(&mut self, name: &'static str) -> Option<Value<'t>> {
        let value = self.get(name);
        if value.is_none() {
            let path = self.path(name);
            self.diagnostics
                .fault(&path, self.place.clone(), Problem::Missing);
        }
        value
    }

    /// Required string; empty if missing or invalid.
    pub(super) fn required_string(&mut self, name: &'static str) -> &'t str {
        let value = self.require(name);
        let path = self.path(name);
        value
            .and_then(|v| v.string(self.diagnostics, &path))
            .unwrap_or_default()
    }

    /// Optional string.
    pub(super) fn optional_string(&mut self, name: &'static str) -> Option<&'t str> {
        let value = self.get(name)?;
        let path = self.path(name);
        value.string(self.diagnostics, &path)
    }

    /// Required 32-bit unsigned integer; 1 if missing or invalid.
    pub(super) fn required_u32(&mut self, name: &'static str) -> u32 {
        self.require(name);
        self.u32_or(name, 1)
    }

    /// Optional 32-bit unsigned integer.
    pub(super) fn u32_or(&mut self, name: &'static str, default: u32) -> u32 {
        let value = self.optional_number(name, u32::MAX.into());
        value.and_then(|v| u32::try_from(v).ok()).unwrap_or(default)
    }

    /// Optional 8-bit unsigned integer.
    pub(super) fn u8_or(&mut self, name: &'static str, default: u8) -> u8 {
        let value = self.optional_number(name, u8::MAX.into());
        value.and_then(|v| u8::try_from(v).ok()).unwrap_or(default)
    }

    /// Optional 64-bit unsigned integer.
    pub(super) fn u64_or(&mut self, name: &'static str, default: u64) -> u64 {
        self.optional_number(name, u64::MAX).unwrap_or(default)
    }

    fn optional_number(&mut self, name: &'static str, most: u64) -> Option<u64> {
        let value = self.get(name)?;
        let path = self.path(name);
        value.number(self.diagnostics, &path, most)
    }

    /// Optional boolean, false by default.
    pub(super) fn flag(&mut self, name: &'static str) -> bool {
        let Some(value) = self.get(name) else {
            return false;
        };
        let path = self.path(name);
        value
            .typed(self.diagnostics, &path, "boolean", DeValue::as_bool)
            .unwrap_or_default()
    }

    /// Required list of strings.
    pub(super) fn required_strings(&mut self, name: &'static str) -> Vec<&'t str> {
        self.require(name);
        self.strings(name)
    }

    /// Optional list of strings, empty by default.
    pub(super) fn strings(&mut self, name: &'static str) -> Vec<&'t str> {
        let values = self.list(name);
        values
            .into_iter()
            .filter_map(|(path, v)| v.string(self.diagnostics, &path))
            .collect()
    }

    /// Values of an optional list with their paths, empty by default.
    pub(super) fn list(&mut self, name: &'static str) -> Vec<(String, Value<'t>)> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let path = self.path(name);
        let values = value.list(self.diagnostics, &path);
        for (path, value) in &values {
            self.diagnostics.places.insert(path.clone(), value.place());
        }
        values
    }

    /// Reports a value that is not one of the allowed ones.
    pub(super) fn report_not_allowed(
        &mut self,
        name: &'static str,
        word: &str,
        allowed: &'static str,
    ) {
        let path = self.path(name);
        let place = self.diagnostics.place(&path);
        let found = word.to_owned();
        let place = place.unwrap_or_else(|| self.place.clone());
        self.diagnostics
            .fault(&path, place, Problem::NotAllowed { found, allowed });
    }

    /// Nested tables of a field by name, without duplicates.
    pub(super) fn tables(&mut self, name: &'static str) -> Vec<(&'t str, String, Value<'t>)> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let path = self.path(name);
        entries(self.diagnostics, self.text, &path, value)
    }

    /// Reports unknown fields, which are those never read.
    pub(super) fn finish(self) {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !self.known.contains(name) {
                let path = format!("{}.{name}", self.path);
                let place = self.text.place(key.span().start);
                self.diagnostics.fault(&path, place, Problem::UnknownField);
            }
        }
    }
}
