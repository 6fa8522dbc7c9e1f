//! What is wrong with a setting.

use snafu::Snafu;

/// Where a setting came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Origin {
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
pub struct Fault {
    /// Flag.
    pub flag: String,
    /// Name in the environment.
    pub variable: String,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FaultKind {
    /// Has no default and is not given.
    #[snafu(display("not given; wanted {wanted}"))]
    Missing {
        /// Form wanted.
        wanted: String,
    },
    /// Given, but not in the form wanted.
    #[snafu(display("{text:?} from the {origin} is not {wanted}"))]
    Malformed {
        /// Text given.
        text: String,
        /// Where from.
        origin: Origin,
        /// Form wanted.
        wanted: String,
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
