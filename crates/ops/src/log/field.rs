//! Fields of an event.

use std::fmt::Display;

/// Named value.
#[derive(Clone, Copy)]
pub struct Field<'a> {
    pub(crate) name: &'static str,
    pub(crate) value: FieldValue<'a>,
}

/// Value, rendered only if the event is logged.
#[derive(Clone, Copy)]
pub enum FieldValue<'a> {
    /// Number from 0.
    Unsigned(u64),
    /// Number.
    Signed(i64),
    /// Number with a fraction.
    Float(f64),
    /// Truth value.
    Bool(bool),
    /// Text.
    Text(&'a str),
    /// Whatever shows itself.
    Display(&'a dyn Display),
}

/// Field of the given name and value.
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
