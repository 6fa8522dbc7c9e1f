//! Server-sent events: where each ends, and its data.

use std::ops::Range;

use snafu::Snafu;

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
    /// Its data: the value of its `data` fields, by line.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        match &self.joined {
            Some(joined) => joined,
            None => &self.raw[self.data.clone()],
        }
    }
}

/// Scanner over the bytes of a stream, which may be cut anywhere.
#[derive(Debug)]
pub struct SseScanner {
    pending: Vec<u8>,
    limit: usize,
}

impl SseScanner {
    /// Scanner for events of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            pending: Vec::new(),
            limit,
        }
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Next whole event, or `None` until more bytes come.
    ///
    /// # Errors
    /// [`TooLong`] if the next event is over the limit.
    pub fn scan_event(&mut self) -> Result<Option<SseEvent>, TooLong> {
        let limit = self.limit;
        let end = scan_blank_line(&self.pending);
        let length = end.unwrap_or(self.pending.len());
        if length > limit {
            return TooLongSnafu { limit }.fail();
        }
        let Some(end) = end else {
            return Ok(None);
        };
        let rest = self.pending.split_off(end);
        let raw = std::mem::replace(&mut self.pending, rest);
        Ok(Some(read_event(raw)))
    }

    /// Bytes of an event that has not ended.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }
}

/// Length up to and with the first blank line; lines end in LF or CR LF.
fn scan_blank_line(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(length) = bytes[start..].iter().position(|b| *b == b'\n') {
        let line = &bytes[start..start + length];
        start += length + 1;
        if line.is_empty() || line == b"\r" {
            return Some(start);
        }
    }
    None
}

fn read_event(raw: Vec<u8>) -> SseEvent {
    let mut ranges = Vec::new();
    let mut start = 0;
    for line in raw.split_inclusive(|b| *b == b'\n') {
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
    while end > start && matches!(line[end - 1], b'\n' | b'\r') {
        end -= 1;
    }
    Some(start..end)
}

fn join_lines(raw: &[u8], ranges: &[Range<usize>]) -> Vec<u8> {
    let lines: Vec<&[u8]> = ranges.iter().map(|r| &raw[r.clone()]).collect();
    lines.join(&b'\n')
}
