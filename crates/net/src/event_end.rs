//! Where the events of a stream end, byte by byte.

use memchr::memchr2;

/// Finds the blank line that ends each event. A line ends in LF, CR LF or CR.
///
/// A CR counts as a line's end by itself once the next byte shows it, or if the line before it ended so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventEnd {
    /// Nothing stands in the current line.
    blank: bool,
    /// The last byte was a CR that an LF may follow.
    cr: bool,
    /// The line before ended in a CR alone.
    lone: bool,
}

impl Default for EventEnd {
    fn default() -> Self {
        Self {
            blank: true,
            cr: false,
            lone: false,
        }
    }
}

impl EventEnd {
    /// Length of `bytes` up to the end of the first event that ends in them; without one, all are scanned.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while let Some(&byte) = bytes.get(at) {
            if self.cr {
                if byte != b'\n' && self.end_line(true) {
                    return Some(at);
                }
                self.cr = false;
            }
            match byte {
                b'\n' if self.end_line(false) => return Some(at + 1),
                b'\r' if self.blank && self.lone => {
                    self.end_line(true);
                    return Some(at + 1);
                }
                b'\r' => self.cr = true,
                b'\n' => {}
                _ => {
                    self.blank = false;
                    at = memchr2(b'\n', b'\r', &bytes[at..]).map_or(bytes.len(), |n| at + n);
                    continue;
                }
            }
            at += 1;
        }
        None
    }

    /// Ends the current line, and the event if it is blank.
    fn end_line(&mut self, lone: bool) -> bool {
        if self.blank {
            *self = Self::default();
            return true;
        }
        self.blank = true;
        self.lone = lone;
        false
    }
}
