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
    Unsigned(u64),
    /// Signed integer.
    Signed(i64),
    /// Floating-point number; JSON has `null` for one that is not finite.
    Float(f64),
    /// Boolean.
    Bool(bool),
    /// Text.
    Text(&'a str),
    /// Any value that implements `Display`.
    Display(&'a dyn Display),
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
    u8 => Unsigned,
    u16 => Unsigned,
    u32 => Unsigned,
    u64 => Unsigned,
    i32 => Signed,
    i64 => Signed,
    f64 => Float,
    bool => Bool,
}

impl From<usize> for FieldValue<'_> {
    fn from(n: usize) -> Self {
        Self::Unsigned(n as u64)
    }
}

impl<'a> From<&'a str> for FieldValue<'a> {
    fn from(text: &'a str) -> Self {
        Self::Text(text)
    }
}

impl<'a, T: Display> From<&'a T> for FieldValue<'a> {
    fn from(value: &'a T) -> Self {
        Self::Display(value)
    }
}
