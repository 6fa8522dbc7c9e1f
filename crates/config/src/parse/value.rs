//! Type-checked access to values.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::notes::Diagnostics;
use super::source::Text;
use crate::fault::{Place, Problem};

/// A TOML value in its source text.
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

    /// Converts the value by `read`; reports a fault with the expected type if that fails.
    pub(super) fn typed<T>(
        self,
        diagnostics: &mut Diagnostics,
        path: &str,
        expected: &'static str,
        read: impl FnOnce(&'t DeValue<'t>) -> Option<T>,
    ) -> Option<T> {
        let value = self.inner.get_ref();
        let result = read(value);
        if result.is_none() {
            let found = value.type_str();
            diagnostics.fault(path, self.place(), Problem::Type { expected, found });
        }
        result
    }

    /// Returns the value as a table.
    pub(super) fn table(
        self,
        diagnostics: &mut Diagnostics,
        path: &str,
    ) -> Option<&'t DeTable<'t>> {
        self.typed(diagnostics, path, "table", DeValue::as_table)
    }

    /// Returns the value as a string.
    pub(super) fn string(self, diagnostics: &mut Diagnostics, path: &str) -> Option<&'t str> {
        self.typed(diagnostics, path, "string", DeValue::as_str)
    }

    /// Returns the value as an unsigned integer up to `most`.
    pub(super) fn number(
        self,
        diagnostics: &mut Diagnostics,
        path: &str,
        most: u64,
    ) -> Option<u64> {
        let integer = self.typed(diagnostics, path, "integer", DeValue::as_integer)?;
        let value = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let fits = value.filter(|v| *v <= most);
        if fits.is_none() {
            let found = integer.as_str().to_owned();
            let problem = Problem::Range {
                found,
                least: 0,
                most,
            };
            diagnostics.fault(path, self.place(), problem);
        }
        fits
    }

    /// Returns the values of an array with their paths.
    pub(super) fn list(
        self,
        diagnostics: &mut Diagnostics,
        path: &str,
    ) -> Vec<(String, Value<'t>)> {
        let array = self.typed(diagnostics, path, "array", DeValue::as_array);
        let values = array.into_iter().flat_map(|a| a.iter()).enumerate();
        values
            .map(|(i, inner)| (format!("{path}[{i}]"), Self::new(self.text, inner)))
            .collect()
    }
}

/// Returns the entries of a table with their paths and values. A duplicate name is reported and
/// left out.
pub(super) fn entries<'t>(
    diagnostics: &mut Diagnostics,
    text: &'t Text<'t>,
    path: &str,
    value: Value<'t>,
) -> Vec<(&'t str, String, Value<'t>)> {
    let mut entries = Vec::new();
    for (key, inner) in value.table(diagnostics, path).into_iter().flatten() {
        let name: &str = key.get_ref();
        let path = format!("{path}.{name}");
        let known = diagnostics.places.contains_key(&path);
        diagnostics.declare(&path, text.place(key.span().start));
        if !known {
            entries.push((name, path, Value::new(text, inner)));
        }
    }
    entries
}
