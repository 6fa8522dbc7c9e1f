//! Faults of a configuration: where, which field, and what is wrong.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Line of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// File, as named by who read it.
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
    /// Where, if it comes from a file.
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

/// All faults of a configuration; displayed one a line.
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
        /// Parser's words.
        detail: String,
    },
    /// Not UTF-8.
    #[snafu(display("not UTF-8"))]
    Encoding,
    /// Field or table that does not exist.
    #[snafu(display("unknown field"))]
    UnknownField,
    /// Required field left out.
    #[snafu(display("missing"))]
    Missing,
    /// Wrong type.
    #[snafu(display("expected {expected}, found {found}"))]
    Type {
        /// Type wanted.
        expected: &'static str,
        /// Type met.
        found: &'static str,
    },
    /// Not one of the words allowed.
    #[snafu(display("'{found}' is not one of {allowed}"))]
    NotAllowed {
        /// Word met.
        found: String,
        /// Words allowed.
        allowed: &'static str,
    },
    /// Declared in two places.
    #[snafu(display("declared twice, first at {first}"))]
    Duplicate {
        /// First place.
        first: Place,
    },
    /// Outside the range allowed.
    #[snafu(display("{found} is not from {least} to {most}"))]
    Range {
        /// Value met.
        found: String,
        /// Least allowed.
        least: u64,
        /// Most allowed.
        most: u64,
    },
    /// Empty text or list.
    #[snafu(display("must not be empty"))]
    Empty,
    /// Text too long.
    #[snafu(display("longer than {most} characters"))]
    TooLong {
        /// Most allowed.
        most: usize,
    },
    /// Id with other characters.
    #[snafu(display("'{id}' has characters outside a-z, 0-9, '.', '_' and '-'"))]
    InvalidCharacters {
        /// Id.
        id: String,
    },
    /// Not a SHA-256.
    #[snafu(display("'{hash}' is not a SHA-256 of 64 lower-case hex digits"))]
    InvalidHash {
        /// Text met.
        hash: String,
    },
    /// Key hash that another caller holds.
    #[snafu(display("key is held by caller '{other}' too"))]
    SharedKey {
        /// Other caller.
        other: String,
    },
    /// Reference to nothing.
    #[snafu(display("'{target}' is not declared"))]
    NotDeclared {
        /// Item referred to.
        target: String,
    },
    /// Service on a pool of engines.
    #[snafu(display("pool '{pool}' is not of kind \"service\""))]
    PoolKind {
        /// Pool.
        pool: String,
    },
    /// Prefix not in the one form allowed.
    #[snafu(display(
        "'{prefix}' must start with '/', and not end with it or hold '//', '.' or '..' segments, '?', '#', '%' or '\\'"
    ))]
    InvalidPrefix {
        /// Prefix.
        prefix: String,
    },
    /// Two routes alike.
    #[snafu(display("same method and prefix as route {first}"))]
    DuplicateRoute {
        /// First of them, from 0.
        first: usize,
    },
    /// Method not in capitals.
    #[snafu(display("'{method}' is not a method in capitals"))]
    InvalidMethod {
        /// Method.
        method: String,
    },
    /// Default deadline above the longest.
    #[snafu(display("{found} is above longest_ms, {longest}"))]
    DeadlineTooLong {
        /// Default, milliseconds.
        found: u64,
        /// Longest, milliseconds.
        longest: u64,
    },
    /// Both weights zero.
    #[snafu(display("stall and batch must not both be 0"))]
    ZeroWeights,
}
