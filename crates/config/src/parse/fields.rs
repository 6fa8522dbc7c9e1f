//! Fields of a table: typed reads that note places, and report what is missing, wrong or unknown.

use std::collections::{BTreeMap, BTreeSet};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::source::Text;
use crate::fault::{Fault, Place, Problem};

/// Places of fields and faults met so far.
#[derive(Default)]
pub(super) struct Notes {
    places: BTreeMap<String, Place>,
    faulty: BTreeSet<String>,
    pub(super) faults: Vec<Fault>,
}

impl Notes {
    /// Place of a field, or of the table nearest above it.
    pub(super) fn place(&self, field: &str) -> Option<Place> {
        let mut path = field;
        loop {
            if let Some(place) = self.places.get(path) {
                return Some(place.clone());
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    /// Whether a fault found by the checks only follows from one known already.
    pub(super) fn explain(&self, fault: &Fault) -> bool {
        let field = fault.field.as_str();
        let below = |path: &String| path.starts_with(field);
        let next = self.faulty.range(field.to_owned()..).next();
        match fault.problem {
            Problem::Empty => next.is_some_and(below),
            _ => self.faulty.contains(field),
        }
    }

    /// Notes a field's place, or that it had one.
    pub(super) fn declare(&mut self, path: &str, place: Place) {
        let Some(first) = self.places.get(path).cloned() else {
            self.places.insert(path.to_owned(), place);
            return;
        };
        self.fault(path, place, Problem::Twice { first });
    }

    pub(super) fn fault(&mut self, path: &str, place: Place, problem: Problem) {
        self.faulty.insert(path.to_owned());
        self.faults.push(Fault {
            place: Some(place),
            field: path.to_owned(),
            problem,
        });
    }
}

/// A value at its path.
#[derive(Clone, Copy)]
pub(super) struct Value<'t> {
    text: &'t Text<'t>,
    inner: &'t Spanned<DeValue<'t>>,
}

impl<'t> Value<'t> {
    pub(super) fn new(text: &'t Text<'t>, inner: &'t Spanned<DeValue<'t>>) -> Self {
        Self { text, inner }
    }

    fn place(self) -> Place {
        self.text.place(self.inner.span().start)
    }

    /// What `read` makes of it; else a fault naming the type wanted.
    fn typed<T>(
        self,
        notes: &mut Notes,
        path: &str,
        expected: &'static str,
        read: impl FnOnce(&'t DeValue<'t>) -> Option<T>,
    ) -> Option<T> {
        let value = self.inner.get_ref();
        let result = read(value);
        if result.is_none() {
            let found = value.type_str();
            notes.fault(path, self.place(), Problem::Type { expected, found });
        }
        result
    }

    /// Table.
    pub(super) fn table(self, notes: &mut Notes, path: &str) -> Option<&'t DeTable<'t>> {
        self.typed(notes, path, "table", DeValue::as_table)
    }

    fn string(self, notes: &mut Notes, path: &str) -> Option<&'t str> {
        self.typed(notes, path, "string", DeValue::as_str)
    }

    fn number(self, notes: &mut Notes, path: &str, most: u64) -> Option<u64> {
        let integer = self.typed(notes, path, "integer", DeValue::as_integer)?;
        let value = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let fits = value.filter(|v| *v <= most);
        if fits.is_none() {
            let found = integer.as_str().to_owned();
            let problem = Problem::Range {
                found,
                least: 0,
                most,
            };
            notes.fault(path, self.place(), problem);
        }
        fits
    }

    /// Values of an array with their paths.
    fn list(self, notes: &mut Notes, path: &str) -> Vec<(String, Value<'t>)> {
        let array = self.typed(notes, path, "array", DeValue::as_array);
        let values = array.into_iter().flat_map(|a| a.iter()).enumerate();
        values
            .map(|(i, inner)| (format!("{path}[{i}]"), Self::new(self.text, inner)))
            .collect()
    }
}

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
            .fault(&path, place, Problem::Word { found, allowed });
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

/// Entries of a table, with path and value; a name declared before is a fault and left out.
pub(super) fn entries<'t>(
    notes: &mut Notes,
    text: &'t Text<'t>,
    path: &str,
    value: Value<'t>,
) -> Vec<(&'t str, String, Value<'t>)> {
    let mut entries = Vec::new();
    for (key, inner) in value.table(notes, path).into_iter().flatten() {
        let name: &str = key.get_ref();
        let path = format!("{path}.{name}");
        let known = notes.places.contains_key(&path);
        notes.declare(&path, text.place(key.span().start));
        if !known {
            entries.push((name, path, Value::new(text, inner)));
        }
    }
    entries
}
