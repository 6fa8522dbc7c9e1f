//! Values with their type checked.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::notes::Notes;
use super::source::Text;
use crate::fault::{Place, Problem};

/// A value at its path.
#[derive(Clone, Copy)]
pub(super) struct Value<'t> {
    pub(super) text: &'t Text<'t>,
    inner: &'t Spanned<DeValue<'t>>,
}

impl<'t> Value<'t> {
    pub(super) fn new(text: &'t Text<'t>, inner: &'t Spanned<DeValue<'t>>) -> Self {
        Self { text, inner }
    }

    pub(super) fn place(self) -> Place {
        self.text.place(self.inner.span().start)
    }

    /// What `read` makes of it; else a fault naming the type wanted.
    pub(super) fn typed<T>(
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

    /// String.
    pub(super) fn string(self, notes: &mut Notes, path: &str) -> Option<&'t str> {
        self.typed(notes, path, "string", DeValue::as_str)
    }

    /// Whole number up to `most`.
    pub(super) fn number(self, notes: &mut Notes, path: &str, most: u64) -> Option<u64> {
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
    pub(super) fn list(self, notes: &mut Notes, path: &str) -> Vec<(String, Value<'t>)> {
        let array = self.typed(notes, path, "array", DeValue::as_array);
        let values = array.into_iter().flat_map(|a| a.iter()).enumerate();
        values
            .map(|(i, inner)| (format!("{path}[{i}]"), Self::new(self.text, inner)))
            .collect()
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
