//! How the end of a body is told.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Version};

/// How the end of an answer's body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection alone, as a cut is.
    Close,
    /// By a frame of HTTP/2.
    Frame,
}

impl Framing {
    /// Framing of an answer with this head.
    #[must_use]
    pub fn of(version: Version, headers: &HeaderMap) -> Self {
        if version == Version::HTTP_2 {
            return Self::Frame;
        }
        let codings = headers.get_all(TRANSFER_ENCODING);
        match codings.iter().next_back() {
            Some(value) if ends_chunked(value.as_bytes()) => Self::Chunked,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            Some(_) | None => Self::Close,
        }
    }

    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
            Self::Frame => "frame",
        }
    }
}

fn ends_chunked(value: &[u8]) -> bool {
    let last = value.rsplit(|b| *b == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}
