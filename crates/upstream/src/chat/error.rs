//! Errors of chat request bodies.

use snafu::Snafu;

/// An invalid chat request body.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChatBodyError {
    /// Too long.
    #[snafu(display("step check body: over {limit} bytes"))]
    TooLong {
        /// Limit, bytes.
        limit: usize,
    },
    /// Not UTF-8.
    #[snafu(display("step check body: not UTF-8 from byte {at}"))]
    Encoding {
        /// Offset of the first invalid byte.
        at: usize,
    },
    /// Not JSON.
    #[snafu(display("step check body: not a JSON object: {detail}"))]
    Json {
        /// Cause, with line and column.
        detail: String,
    },
    /// Nested too deeply.
    #[snafu(display("step check body: more than {limit} levels"))]
    TooDeep {
        /// Limit, levels.
        limit: usize,
    },
    /// A field is invalid.
    #[snafu(display("step check body: {path}: {issue}"))]
    Field {
        /// Path of the field, such as `messages[2].role`.
        path: String,
        /// Problem with the field.
        issue: FieldIssue,
    },
}

/// Problem with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FieldIssue {
    /// The field is missing.
    #[snafu(display("is missing"))]
    Missing,
    /// The field occurs twice.
    #[snafu(display("stands twice"))]
    Duplicate,
    /// The field has another type.
    #[snafu(display("is not {expected}"))]
    Type {
        /// Expected type.
        expected: &'static str,
    },
    /// The value is out of range.
    #[snafu(display("is not within 1 to {high}"))]
    Range {
        /// Maximum value.
        high: u64,
    },
    /// Empty.
    #[snafu(display("is empty"))]
    Empty,
    /// Too many items.
    #[snafu(display("has more than {limit} items"))]
    TooMany {
        /// Limit, items.
        limit: usize,
    },
}

impl ChatBodyError {
    pub(crate) fn field(path: impl Into<String>, issue: FieldIssue) -> Self {
        let path = path.into();
        Self::Field { path, issue }
    }
}
