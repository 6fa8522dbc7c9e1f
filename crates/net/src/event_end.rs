//! Where the events of a stream end, byte by byte.

use memchr::memchr2;

/// Finds the blank line that ends each event. A line ends in LF, CR LF or CR.
///
/// A CR counts as a line's end by itself once the next byte shows it, or if the line before it ended so.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventEnd {
    before: Before,
    /// Something stands in the current line.
    filled: bool,
    /// The last byte was a CR that an LF may follow.
    cr: bool,
}

/// What stands before the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Before {
    /// Nothing of the same event.
    #[default]
    Start,
    /// A line that ended in LF.
    Lf,
    /// A line that ended in CR alone.
    Cr,
}

impl EventEnd {
    /// Length of `bytes` up to the end of the first event that ends in them; without one, all are scanned.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while let Some(&byte) = bytes.get(at) {
            if self.cr && byte != b'\n' && self.end_line(Before::Cr) {
                return Some(at);
            }
            self.cr = false;
            match byte {
                b'\n' if self.end_line(Before::Lf) => return Some(at + 1),
                b'\r' if !self.filled && self.before == Before::Cr => {
                    self.end_line(Before::Cr);
                    return Some(at + 1);
                }
                b'\r' => self.cr = true,
                b'\n' => {}
                _ => {
                    self.filled = true;
                    at = memchr2(b'\n', b'\r', &bytes[at..]).map_or(bytes.len(), |n| at + n);
                    continue;
                }
            }
            at += 1;
        }
        None
    }

    /// Whether bytes came after the last event's end.
    pub(crate) fn is_inside(&self) -> bool {
        self.before != Before::Start || self.filled || self.cr
    }

    /// Ends the current line as `before` tells, and the event if the line is blank.
    fn end_line(&mut self, before: Before) -> bool {
        if !self.filled {
            *self = Self::default();
            return true;
        }
        self.filled = false;
        self.before = before;
        false
    }
}
