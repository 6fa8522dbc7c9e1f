//! JSON lines.

use serde::Serialize;

/// Prints a line.
pub(crate) fn print<T: Serialize>(line: &T) {
    // Numbers and texts always encode.
    println!("{}", serde_json::to_string(line).unwrap_or_default());
}
