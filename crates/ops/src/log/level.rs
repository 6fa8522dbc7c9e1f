//! Log levels.

use std::fmt;

/// Level of an event, or the most verbose level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing is logged.
    Off,
    /// Needs action by an operator.
    Error,
    /// May need action by an operator.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Events of each request.
    Debug,
}

impl Level {
    /// All levels, from the least verbose.
    pub const ALL: [Self; 5] = [Self::Off, Self::Error, Self::Warn, Self::Info, Self::Debug];

    /// Name in settings and log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }

    pub(crate) fn to_spdlog(self) -> spdlog::Level {
        match self {
            Self::Off | Self::Error => spdlog::Level::Error,
            Self::Warn => spdlog::Level::Warn,
            Self::Info => spdlog::Level::Info,
            Self::Debug => spdlog::Level::Debug,
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}
