//! A source file: its text, lines and tables.

use std::borrow::Cow;
use std::ops::Range;

use toml::de::{DeTable, Error};

use super::declare::Declarations;
use crate::fault::{Fault, Place, Problem};

/// Message of the TOML parser for a duplicate key.
const DUPLICATE: &str = "duplicate key";

/// Content of a file.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name used in messages.
    pub name: &'a str,
    /// Content.
    pub bytes: &'a [u8],
}

/// Text of a file, with the offsets at which lines start.
pub(super) struct Text<'a> {
    name: &'a str,
    body: Cow<'a, str>,
    starts: Vec<usize>,
    invalid: Option<usize>,
}

impl<'a> Text<'a> {
    pub(super) fn new(source: Source<'a>) -> Self {
        let invalid = std::str::from_utf8(source.bytes)
            .err()
            .map(|e| e.valid_up_to());
        let body = String::from_utf8_lossy(source.bytes);
        let ends = body.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            name: source.name,
            starts: std::iter::once(0).chain(ends).collect(),
            body,
            invalid,
        }
    }

    /// Returns the place of an offset in the text.
    pub(super) fn place(&self, offset: usize) -> Place {
        self.place_of(self.starts.partition_point(|start| *start <= offset))
    }

    fn place_of(&self, line: usize) -> Place {
        let file = self.name.to_owned();
        Place { file, line }
    }

    /// Adds the declarations of the file.
    pub(super) fn scan(&self, found: &mut Declarations) {
        if let Some(offset) = self.invalid {
            self.fault(found, offset, Problem::Encoding);
        }
        let (table, errors) = DeTable::parse_recoverable(&self.body);
        for error in errors {
            let span = error.span().unwrap_or_default();
            let first = self.find_first_declaration(&error, &span, table.get_ref());
            let problem = first.unwrap_or_else(|| Problem::Syntax {
                detail: error.message().to_owned(),
            });
            self.fault(found, self.start(&span), problem);
        }
        found.scan(self, table.get_ref());
    }

    /// For a duplicate key, finds its first place if that is unambiguous. The parser reports the
    /// second place only.
    fn find_first_declaration(
        &self,
        error: &Error,
        span: &Range<usize>,
        root: &DeTable<'_>,
    ) -> Option<Problem> {
        if error.message() != DUPLICATE {
            return None;
        }
        let first = match self.first_header(self.place(span.start).line) {
            Some(line) => self.place_of(line),
            None => self.first_key(span, root)?,
        };
        Some(Problem::Duplicate { first })
    }

    /// If `line` is a table header, returns an earlier line with the same header.
    fn first_header(&self, line: usize) -> Option<usize> {
        let header = self.body.lines().nth(line - 1)?.trim();
        if !header.starts_with('[') {
            return None;
        }
        let first = self.body.lines().position(|l| l.trim() == header)? + 1;
        (first < line).then_some(first)
    }

    /// Returns the place of the key of the same name before `span`, if there is exactly one.
    fn first_key(&self, span: &Range<usize>, root: &DeTable<'_>) -> Option<Place> {
        let name = self.body.get(span.clone())?;
        let mut starts = Vec::new();
        find_keys(root, name, &mut starts);
        starts.retain(|start| *start < span.start);
        let &[start] = starts.as_slice() else {
            return None;
        };
        Some(self.place(start))
    }

    fn start(&self, span: &Range<usize>) -> usize {
        // An error at the end of the text is reported at the last line that is not blank.
        let end = self.body.trim_end().len();
        span.start.min(end)
    }

    fn fault(&self, found: &mut Declarations, offset: usize, problem: Problem) {
        found.diagnostics.faults.push(Fault {
            place: Some(self.place(offset)),
            field: String::new(),
            problem,
        });
    }
}

/// Collects the offsets of all keys of this name, including nested tables.
fn find_keys(table: &DeTable<'_>, name: &str, starts: &mut Vec<usize>) {
    for (key, value) in table {
        if key.get_ref() == name {
            starts.push(key.span().start);
        }
        if let Some(inner) = value.get_ref().as_table() {
            find_keys(inner, name, starts);
        }
    }
}
