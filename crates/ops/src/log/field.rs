//! Fields of a log event.

use std::fmt::Display;

/// Named value in a log line.
#[derive(Clone, Copy)]
pub struct Field<'a> {
    pub(crate) name: &'static str,
    pub(crate) value: FieldValue<'a>,
}

/// Value of a field, formatted only if the event is logged.
#[derive(Clone, Copy)]
pub enum FieldValue<'a> {
    /// Unsigned integer.
    Count(u64),
    /// Signed integer.
    Signed(i64),
    /// Floating-point number; JSON has `null` for one that is not finite.
    Real(f64),
    /// Boolean.
    Flag(bool),
    /// Text.
    Text(&'a str),
    /// Any value that implements `Display`.
    Shown(&'a dyn Display),
}

/// Creates a field.
pub fn field<'a>(name: &'static str, value: impl Into<FieldValue<'a>>) -> Field<'a> {
    Field {
        name,
        value: value.into(),
    }
}

macro_rules! from_number {
    ($($kind:ty => $variant:ident,)*) => {
        $(impl From<$kind> for FieldValue<'_> {
            fn from(n: $kind) -> Self {
                Self::$variant(n.into())
            }
        })*
    };
}

from_number! {
    u8 => Count,
    u16 => Count,
    u32 => Count,
    u64 => Count,
    i32 => Signed,
    i64 => Signed,
    f64 => Real,
    bool => Flag,
}

impl From<usize> for FieldValue<'_> {
    fn from(n: usize) -> Self {
        Self::Count(n as u64)
    }
}

impl<'a> From<&'a str> for FieldValue<'a> {
    fn from(text: &'a str) -> Self {
        Self::Text(text)
    }
}

impl<'a, T: Display> From<&'a T> for FieldValue<'a> {
    fn from(value: &'a T) -> Self {
        Self::Shown(value)
    }
}
