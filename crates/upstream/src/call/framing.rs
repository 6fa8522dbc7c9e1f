//! Detection of responses whose completeness can't be verified.
//!
//! HTTP/1.1 allows a response with neither a length nor chunked encoding, which ends when the
//! connection closes. A truncated one looks the same as a complete one, so such a response is never
//! accepted as complete.

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Statuses whose responses have no body.
const NO_BODY_STATUSES: [u16; 2] = [204, 304];

/// Whether the response body is delimited only by the end of the connection.
pub(crate) fn is_close_delimited(status: u16, headers: &HeaderMap) -> bool {
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !framed && !NO_BODY_STATUSES.contains(&status)
}
