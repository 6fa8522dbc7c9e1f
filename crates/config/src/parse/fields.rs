//! Fields of a table: typed reads that note places, and report what is missing, wrong or unknown.

use std::collections::BTreeSet;

use toml::de::{DeTable, DeValue};

use super::notes::Notes;
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
    notes: &'n mut Notes,
}

impl<'n, 't> Fields<'n, 't> {
    /// Fields of the table that `value` is, if it is one.
    pub(super) fn new(notes: &'n mut Notes, path: String, value: Value<'t>) -> Option<Self> {
        let table = value.table(notes, &path)?;
        let place = notes.place(&path).unwrap_or_else(|| value.place());
        Some(Self {
            text: value.text,
            table,
            path,
            place,
            known: BTreeSet::new(),
            notes,
        })
    }

    /// Notes, for values below.
    pub(super) fn notes(&mut self) -> &mut Notes {
        self.notes
    }

    /// Path of a field.
    pub(super) fn path(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    /// Value of a field, noted as known.
    pub(super) fn get(&mut self, name: &'static str) -> Option<Value<'t>> {
        self.known.insert(name);
        let (key, inner) = self.table.get_key_value(name)?;
        let place = self.text.place(key.span().start);
        let path = self.path(name);
        self.notes.places.insert(path, place);
        Some(Value::new(self.text, inner))
    }

    fn require(&mut self, name: &'static str) -> Option<Value<'t>> {
        let value = self.get(name);
        if value.is_none() {
            let path = self.path(name);
            self.notes
                .fault(&path, self.place.clone(), Problem::Missing);
        }
        value
    }

    /// String that must stand; empty if it doesn't.
    pub(super) fn string(&mut self, name: &'static str) -> &'t str {
        let value = self.require(name);
        let path = self.path(name);
        value
            .and_then(|v| v.string(self.notes, &path))
            .unwrap_or_default()
    }

    /// String that may be left out.
    pub(super) fn optional(&mut self, name: &'static str) -> Option<&'t str> {
        let value = self.get(name)?;
        let path = self.path(name);
        value.string(self.notes, &path)
    }

    /// Whole number of 32 bits that must stand; 1 if it doesn't.
    pub(super) fn count(&mut self, name: &'static str) -> u32 {
        self.require(name);
        self.count_or(name, 1)
    }

    /// Whole number of 32 bits.
    pub(super) fn count_or(&mut self, name: &'static str, default: u32) -> u32 {
        let value = self.number_up_to(name, u32::MAX.into());
        value.and_then(|v| u32::try_from(v).ok()).unwrap_or(default)
    }

    /// Whole number of 8 bits.
    pub(super) fn small_or(&mut self, name: &'static str, default: u8) -> u8 {
        let value = self.number_up_to(name, u8::MAX.into());
        value.and_then(|v| u8::try_from(v).ok()).unwrap_or(default)
    }

    /// Whole number of 64 bits.
    pub(super) fn number_or(&mut self, name: &'static str, default: u64) -> u64 {
        self.number_up_to(name, u64::MAX).unwrap_or(default)
    }

    fn number_up_to(&mut self, name: &'static str, most: u64) -> Option<u64> {
        let value = self.get(name)?;
        let path = self.path(name);
        value.number(self.notes, &path, most)
    }

    /// Truth value, false if left out.
    pub(super) fn flag(&mut self, name: &'static str) -> bool {
        let Some(value) = self.get(name) else {
            return false;
        };
        let path = self.path(name);
        value
            .typed(self.notes, &path, "boolean", DeValue::as_bool)
            .unwrap_or_default()
    }

    /// List of strings that must stand.
    pub(super) fn require_strings(&mut self, name: &'static str) -> Vec<&'t str> {
        self.require(name);
        self.strings(name)
    }

    /// List of strings, empty if left out.
    pub(super) fn strings(&mut self, name: &'static str) -> Vec<&'t str> {
        let values = self.list(name);
        values
            .into_iter()
            .filter_map(|(path, v)| v.string(self.notes, &path))
            .collect()
    }

    /// Values of a list with their paths, empty if left out.
    pub(super) fn list(&mut self, name: &'static str) -> Vec<(String, Value<'t>)> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let path = self.path(name);
        let values = value.list(self.notes, &path);
        for (path, value) in &values {
            self.notes.places.insert(path.clone(), value.place());
        }
        values
    }

    /// One of the words allowed.
    pub(super) fn word(&mut self, name: &'static str, word: &str, allowed: &'static str) {
        let path = self.path(name);
        let place = self.notes.place(&path);
        let found = word.to_owned();
        let place = place.unwrap_or_else(|| self.place.clone());
        self.notes
            .fault(&path, place, Problem::NotAllowed { found, allowed });
    }

    /// Tables below a field by name, each declared once.
    pub(super) fn tables(&mut self, name: &'static str) -> Vec<(&'t str, String, Value<'t>)> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let path = self.path(name);
        entries(self.notes, self.text, &path, value)
    }

    /// Reports fields that no one asked for.
    pub(super) fn finish(self) {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !self.known.contains(name) {
                let path = format!("{}.{name}", self.path);
                let place = self.text.place(key.span().start);
                self.notes.fault(&path, place, Problem::UnknownField);
            }
        }
    }
}
