//! What is wrong with a setting.

use snafu::Snafu;

/// Where a setting came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SettingOrigin {
    /// Its flag.
    #[snafu(display("flag"))]
    Flag,
    /// Its name in the environment.
    #[snafu(display("environment"))]
    Environment,
    /// Its default.
    #[snafu(display("default"))]
    Default,
}

/// A wrong setting.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{flag} ({variable}): {kind}"))]
pub struct SettingFault {
    /// Flag.
    pub flag: String,
    /// Name in the environment.
    pub variable: String,
    /// What is wrong.
    pub kind: SettingFaultKind,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingFaultKind {
    /// Has no default and is not given.
    #[snafu(display("not set; expected {expected}"))]
    Missing {
        /// Form wanted.
        expected: String,
    },
    /// Given, but not in the form wanted.
    #[snafu(display("{text:?} from the {origin} is not {expected}"))]
    Malformed {
        /// Text given.
        text: String,
        /// Where from.
        origin: SettingOrigin,
        /// Form wanted.
        expected: String,
    },
    /// Flag given twice.
    #[snafu(display("flag given twice"))]
    Twice,
    /// Not a flag of this program, or without its value.
    #[snafu(display("{detail}"))]
    BadFlag {
        /// Message of the flags' library.
        detail: String,
    },
}
