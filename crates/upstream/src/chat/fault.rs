//! What can be wrong with a caller's body.

use snafu::Snafu;

/// A body that is no chat request.
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
        /// First wrong byte.
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
    /// A field is wrong.
    #[snafu(display("step check body: {path}: {issue}"))]
    Field {
        /// Path of the field, such as `messages[2].role`.
        path: String,
        /// What is wrong with it.
        issue: FieldIssue,
    },
}

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FieldIssue {
    /// Not there.
    #[snafu(display("is missing"))]
    Missing,
    /// There twice.
    #[snafu(display("stands twice"))]
    Duplicate,
    /// Of another type.
    #[snafu(display("is not {expected}"))]
    Type {
        /// Type expected.
        expected: &'static str,
    },
    /// Out of range.
    #[snafu(display("is not within 1 to {high}"))]
    Range {
        /// Highest value.
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
