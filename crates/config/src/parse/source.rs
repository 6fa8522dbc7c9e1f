//! One file: its text, its lines and its tables.

use std::borrow::Cow;
use std::ops::Range;

use toml::de::DeTable;

use super::declare::Declarations;
use crate::fault::{Fault, Place, Problem};

/// A file as read.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name for messages.
    pub name: &'a str,
    /// Content.
    pub bytes: &'a [u8],
}

/// Text of a file, with the starts of its lines.
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

    /// Place of an offset in the text.
    pub(super) fn place(&self, offset: usize) -> Place {
        Place {
            file: self.name.to_owned(),
            line: self.starts.partition_point(|start| *start <= offset),
        }
    }

    /// Adds what the file declares.
    pub(super) fn scan(&self, found: &mut Declarations) {
        if let Some(offset) = self.invalid {
            self.fault(found, offset, Problem::Encoding);
        }
        let (table, errors) = DeTable::parse_recoverable(&self.body);
        for error in errors {
            let start = error.span().map_or(0, |span| self.start(&span));
            let detail = error.message().to_owned();
            self.fault(found, start, Problem::Syntax { detail });
        }
        found.scan(self, table.get_ref());
    }

    fn start(&self, span: &Range<usize>) -> usize {
        // An error at the end of the text belongs to its last line with characters.
        let end = self.body.trim_end().len();
        span.start.min(end)
    }

    fn fault(&self, found: &mut Declarations, offset: usize, problem: Problem) {
        found.notes.faults.push(Fault {
            place: Some(self.place(offset)),
            field: String::new(),
            problem,
        });
    }
}
