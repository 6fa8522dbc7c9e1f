//! Faults in settings.

use snafu::Snafu;

/// Where the value of a setting comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SettingOrigin {
    /// The flag.
    #[snafu(display("flag"))]
    Flag,
    /// The environment variable.
    #[snafu(display("environment"))]
    Environment,
    /// The default.
    #[snafu(display("default"))]
    Default,
}

/// A fault in a setting.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{flag} ({variable}): {kind}"))]
pub struct SettingFault {
    /// Flag of the setting.
    pub flag: String,
    /// Environment variable of the setting.
    pub variable: String,
    /// Kind of fault.
    pub kind: SettingFaultKind,
}

/// Kind of fault in a setting.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingFaultKind {
    /// The setting has no default and is not set.
    #[snafu(display("not set; expected {expected}"))]
    Missing {
        /// Expected format.
        expected: String,
    },
    /// The value does not have the expected format.
    #[snafu(display("{text:?} from the {origin} is not {expected}"))]
    Malformed {
        /// Text of the value.
        text: String,
        /// Where the value comes from.
        origin: SettingOrigin,
        /// Expected format.
        expected: String,
    },
    /// The flag was given twice.
    #[snafu(display("flag given twice"))]
    Twice,
    /// The flag is unknown or has no value.
    #[snafu(display("{detail}"))]
    BadFlag {
        /// Message of `argh`.
        detail: String,
    },
}
