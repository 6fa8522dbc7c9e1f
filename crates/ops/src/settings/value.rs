//! Types of settings, and how they are parsed.

use std::net::SocketAddr;
use std::time::Duration;

use pumicecleat_types::{AdapterId, BaseId, DataCentre, PoolId, RegionId, ServiceId, VmId};

use crate::{Level, LogFormat};

/// Type that a setting can have.
pub trait SettingValue: Sized {
    /// Description of the expected format, for messages.
    fn expected() -> String;

    /// Parses `text`; returns `None` if it is malformed.
    fn parse(text: &str) -> Option<Self>;
}

/// Duration such as `250ms`, `3s`, `1.5s`, `5m` or `1h`, in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanDuration(pub Duration);

/// Size in bytes, such as `512`, `64KiB`, `8MiB` or `1GiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

/// Memory of a process, in bytes: a [`ByteSize`] with room for the process itself and for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemoryLimit(pub u64);

/// Descriptors of a process: enough for its own and for some callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DescriptorLimit(pub usize);

/// Smallest memory of a process, bytes.
const MIN_MEMORY: u64 = 32 << 20;

/// Fewest descriptors of a process.
const MIN_DESCRIPTORS: usize = 320;

/// Units of a duration, in milliseconds.
const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)];

/// Units of a size, in bytes.
const SIZE_UNITS: [(&str, u64); 5] = [
    ("", 1),
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

impl SettingValue for HumanDuration {
    fn expected() -> String {
        "a duration like 250ms, 3s, 1.5s, 5m or 1h".into()
    }

    fn parse(text: &str) -> Option<Self> {
        if let Some(ms) = parse_unit(text, &DURATION_UNITS) {
            return Some(Self(Duration::from_millis(ms)));
        }
        let unit = text.find(|c: char| c.is_ascii_alphabetic())?;
        let (number, name) = text.split_at(unit);
        let (_, ms) = DURATION_UNITS.iter().find(|(unit, _)| *unit == name)?;
        let seconds = Duration::from_millis(*ms).as_secs_f64() * parse_decimal(number)?;
        let ms = Duration::try_from_secs_f64(seconds).ok()?.as_secs_f64() * 1_000.0;
        Duration::try_from_secs_f64(ms.round() / 1_000.0)
            .ok()
            .map(Self)
    }
}

impl SettingValue for ByteSize {
    fn expected() -> String {
        "a size like 512, 64KiB, 8MiB or 1GiB".into()
    }

    fn parse(text: &str) -> Option<Self> {
        parse_unit(text, &SIZE_UNITS).map(Self)
    }
}

impl SettingValue for MemoryLimit {
    fn expected() -> String {
        format!("a size of at least {}MiB, like 256MiB", MIN_MEMORY >> 20)
    }

    fn parse(text: &str) -> Option<Self> {
        let size = ByteSize::parse(text)?.0;
        (size >= MIN_MEMORY).then_some(Self(size))
    }
}

impl SettingValue for DescriptorLimit {
    fn expected() -> String {
        format!("a whole number from {MIN_DESCRIPTORS}")
    }

    fn parse(text: &str) -> Option<Self> {
        let count = text.parse().ok()?;
        (count >= MIN_DESCRIPTORS).then_some(Self(count))
    }
}

impl SettingValue for Level {
    fn expected() -> String {
        "one of off, error, warn, info, debug".into()
    }

    fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|level| level.name() == text)
    }
}

impl SettingValue for LogFormat {
    fn expected() -> String {
        "text or json".into()
    }

    fn parse(text: &str) -> Option<Self> {
        match text {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

impl SettingValue for SocketAddr {
    fn expected() -> String {
        "an IP address and port like 127.0.0.1:8080".into()
    }

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for bool {
    fn expected() -> String {
        "true or false".into()
    }

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// An optional value; an empty text is `None`.
impl<T: SettingValue> SettingValue for Option<T> {
    fn expected() -> String {
        format!("{}, or empty", T::expected())
    }

    fn parse(text: &str) -> Option<Self> {
        if text.is_empty() {
            return Some(None);
        }
        T::parse(text).map(Some)
    }
}

/// Values separated by commas.
impl<T: SettingValue> SettingValue for Vec<T> {
    fn expected() -> String {
        format!("any number, separated by commas, of: {}", T::expected())
    }

    fn parse(text: &str) -> Option<Self> {
        if text.is_empty() {
            return Some(Self::new());
        }
        text.split(',').map(|part| T::parse(part.trim())).collect()
    }
}

macro_rules! numbers {
    ($($kind:ty),*) => {
        $(impl SettingValue for $kind {
            fn expected() -> String {
                format!("a whole number from {} to {}", <$kind>::MIN, <$kind>::MAX)
            }

            fn parse(text: &str) -> Option<Self> {
                text.parse().ok()
            }
        })*
    };
}

numbers!(u8, u16, u32, u64, usize);

impl SettingValue for f64 {
    fn expected() -> String {
        "a non-negative number like 54 or 38.25".into()
    }

    fn parse(text: &str) -> Option<Self> {
        parse_decimal(text)
    }
}

macro_rules! names {
    ($($kind:ty),*) => {
        $(impl SettingValue for $kind {
            fn expected() -> String {
                "a name without spaces or control characters".into()
            }

            fn parse(text: &str) -> Option<Self> {
                is_name(text).then(|| text.into())
            }
        })*
    };
}

names!(
    String, VmId, DataCentre, RegionId, PoolId, ServiceId, BaseId, AdapterId
);

fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// Parses a non-negative number: digits, with at most one decimal point between them.
fn parse_decimal(text: &str) -> Option<f64> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    (is_digits(integer) && is_digits(fraction)).then(|| text.parse().ok())?
}

fn parse_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit());
    let (number, name) = text.split_at(unit_start.unwrap_or(text.len()));
    let (_, factor) = units.iter().find(|(unit, _)| *unit == name)?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}
