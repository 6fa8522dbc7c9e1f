//! Server-sent events: where each ends, and its data.

use std::ops::Range;

use snafu::Snafu;

use crate::event_end::EventEnd;
use crate::pending::Pending;

/// An event longer than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("step scan events: one is over {limit} bytes"))]
pub struct TooLong {
    /// Limit, bytes.
    pub limit: usize,
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes with the blank line that ends it.
    pub raw: Vec<u8>,
    data: Range<usize>,
    joined: Option<Vec<u8>>,
}

impl SseEvent {
    /// Its id, if it has one that is a number.
    #[must_use]
    pub fn number(&self) -> Option<u64> {
        let mut lines = self.raw.split(|b| ends_line(*b));
        let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    }

    /// Its data: the value of its `data` fields, by line.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        match &self.joined {
            Some(joined) => joined,
            None => &self.raw[self.data.clone()],
        }
    }
}

/// Scanner over the bytes of a stream, which may be cut anywhere. Looks at each byte once.
#[derive(Debug)]
pub struct SseScanner {
    pending: Pending,
    /// Bytes of the pending event that were looked at.
    seen: usize,
    end: EventEnd,
    limit: usize,
}

impl SseScanner {
    /// Scanner for events of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            pending: Pending::default(),
            seen: 0,
            end: EventEnd::default(),
            limit,
        }
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.push(bytes);
    }

    /// Next whole event, or `None` until more bytes come.
    ///
    /// # Errors
    /// [`TooLong`] if the next event is over the limit; nothing can be read after it.
    pub fn scan_event(&mut self) -> Result<Option<SseEvent>, TooLong> {
        let limit = self.limit;
        let end = self.scan_blank_line();
        let length = end.unwrap_or(self.seen);
        if length > limit {
            return TooLongSnafu { limit }.fail();
        }
        let Some(end) = end else {
            return Ok(None);
        };
        let raw = self.pending.bytes()[..end].to_vec();
        self.pending.take(end);
        self.seen = 0;
        Ok(Some(read_event(raw)))
    }

    /// Bytes of an event that has not ended.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        self.pending.bytes()
    }

    /// Length up to and with the first blank line.
    fn scan_blank_line(&mut self) -> Option<usize> {
        let bytes = self.pending.bytes();
        if let Some(length) = self.end.scan(&bytes[self.seen..]) {
            return Some(self.seen + length);
        }
        self.seen = bytes.len();
        None
    }
}

/// Whether a line ends at `byte`; of CR LF, an empty line follows the CR.
fn ends_line(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn read_event(raw: Vec<u8>) -> SseEvent {
    let mut ranges = Vec::new();
    let mut start = 0;
    for line in raw.split_inclusive(|b| ends_line(*b)) {
        if let Some(range) = scan_data(line) {
            ranges.push(start + range.start..start + range.end);
        }
        start += line.len();
    }
    let joined = (ranges.len() > 1).then(|| join_lines(&raw, &ranges));
    let data = ranges.first().cloned().unwrap_or(0..0);
    SseEvent { raw, data, joined }
}

/// Range of the value if the line is a `data` field.
fn scan_data(line: &[u8]) -> Option<Range<usize>> {
    const FIELD: &[u8] = b"data:";
    if !line.starts_with(FIELD) {
        return None;
    }
    let mut start = FIELD.len();
    if line.get(start) == Some(&b' ') {
        start += 1;
    }
    let mut end = line.len();
    while end > start && ends_line(line[end - 1]) {
        end -= 1;
    }
    Some(start..end)
}

fn join_lines(raw: &[u8], ranges: &[Range<usize>]) -> Vec<u8> {
    let lines: Vec<&[u8]> = ranges.iter().map(|r| &raw[r.clone()]).collect();
    lines.join(&b'\n')
}
