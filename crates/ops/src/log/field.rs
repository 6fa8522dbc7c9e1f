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
    Count(u64),
    /// Number.
    Signed(i64),
    /// Number with a fraction.
    Real(f64),
    /// Truth value.
    Flag(bool),
    /// Text.
    Text(&'a str),
    /// Whatever shows itself.
    Shown(&'a dyn Display),
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
