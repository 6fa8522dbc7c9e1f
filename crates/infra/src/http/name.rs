//! Names that need no escaping in a path or query.

use crate::RequestError;
use crate::http::Peers;
use crate::http::error::InvalidNameSnafu;

/// Accepts `[A-Za-z0-9._-]+`.
pub(crate) fn check_name(name: &str, peers: &Peers) -> Result<(), RequestError> {
    accept(is_name(name), name, peers)
}

/// Accepts names joined by `/`, which may also contain `@`, `:`, `=` and `+`.
pub(crate) fn check_path(path: &str, peers: &Peers) -> Result<(), RequestError> {
    accept(path.split('/').all(is_segment), path, peers)
}

fn accept(allowed: bool, name: &str, peers: &Peers) -> Result<(), RequestError> {
    if allowed {
        return Ok(());
    }
    let peer = peers.to_string();
    InvalidNameSnafu { peer, name }.fail()
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_name_byte)
}

fn is_segment(segment: &str) -> bool {
    let dots = segment == "." || segment == "..";
    let allowed = |b: u8| is_name_byte(b) || matches!(b, b'@' | b':' | b'=' | b'+');
    !segment.is_empty() && !dots && segment.bytes().all(allowed)
}

fn is_name_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-')
}
