//! Validation faults of a configuration: place, field and problem.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Line of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// File name, as given in the source.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Place, if it comes from a file.
    pub place: Option<Place>,
    /// Path of the field; empty for the file as a whole.
    pub field: String,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(f, "{place}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}", self.problem)
    }
}

/// All faults of a configuration, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            let end = if i + 1 < self.0.len() { "\n" } else { "" };
            write!(f, "{fault}{end}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Snafu)]
pub enum Problem {
    /// Not TOML.
    #[snafu(display("syntax error: {detail}"))]
    Syntax {
        /// Message of the parser.
        detail: String,
    },
    /// Not UTF-8.
    #[snafu(display("not UTF-8"))]
    Encoding,
    /// Field or table that is not part of the format.
    #[snafu(display("unknown field"))]
    UnknownField,
    /// Required field is missing.
    #[snafu(display("missing"))]
    Missing,
    /// Wrong type.
    #[snafu(display("expected {expected}, found {found}"))]
    Type {
        /// Expected type.
        expected: &'static str,
        /// Actual type.
        found: &'static str,
    },
    /// Not one of the allowed values.
    #[snafu(display("'{found}' is not one of {allowed}"))]
    NotAllowed {
        /// Actual value.
        found: String,
        /// Allowed values.
        allowed: &'static str,
    },
    /// Declared in two places.
    #[snafu(display("declared twice, first at {first}"))]
    Duplicate {
        /// First place.
        first: Place,
    },
    /// Outside the allowed range.
    #[snafu(display("{found} is not from {least} to {most}"))]
    Range {
        /// Actual value.
        found: String,
        /// Minimum.
        least: u64,
        /// Maximum.
        most: u64,
    },
    /// Empty text or list.
    #[snafu(display("must not be empty"))]
    Empty,
    /// Text too long.
    #[snafu(display("longer than {most} characters"))]
    TooLong {
        /// Maximum.
        most: usize,
    },
    /// Id with characters that are not allowed.
    #[snafu(display("'{id}' has characters outside a-z, 0-9, '.', '_' and '-'"))]
    InvalidCharacters {
        /// Id.
        id: String,
    },
    /// Not a SHA-256.
    #[snafu(display("'{hash}' is not a SHA-256 of 64 lower-case hex digits"))]
    InvalidHash {
        /// Actual value.
        hash: String,
    },
    /// Key hash that another caller also has.
    #[snafu(display("key is held by caller '{other}' too"))]
    SharedKey {
        /// Other caller.
        other: String,
    },
    /// Reference to an item that is not declared.
    #[snafu(display("'{target}' is not declared"))]
    NotDeclared {
        /// Referenced item.
        target: String,
    },
    /// Service that refers to a pool of engines.
    #[snafu(display("pool '{pool}' is not of kind \"service\""))]
    PoolKind {
        /// Pool.
        pool: String,
    },
    /// Path prefix that is not in canonical form.
    #[snafu(display(
        "'{prefix}' must start with '/', and not end with it or hold '//', '.' or '..' segments, '?', '#', '%' or '\\'"
    ))]
    InvalidPrefix {
        /// Prefix.
        prefix: String,
    },
    /// Two routes with the same method and prefix.
    #[snafu(display("same method and prefix as route {first}"))]
    DuplicateRoute {
        /// Index of the first, from 0.
        first: usize,
    },
    /// HTTP method that is not in upper case.
    #[snafu(display("'{method}' is not a method in capitals"))]
    InvalidMethod {
        /// Method.
        method: String,
    },
    /// Default deadline exceeds the longest one.
    #[snafu(display("{found} is above longest_ms, {longest}"))]
    DeadlineTooLong {
        /// Default deadline, milliseconds.
        found: u64,
        /// Longest deadline, milliseconds.
        longest: u64,
    },
    /// Both weights are zero.
    #[snafu(display("stall and batch must not both be 0"))]
    ZeroWeights,
}
