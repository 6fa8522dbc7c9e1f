//! Whether an answer can be proved whole.
//!
//! HTTP/1.1 allows an answer with neither length nor chunks that ends with its connection. Such
//! an answer reads the same whether it was finished or cut, so it is never taken for whole.

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Statuses whose answers have no body.
const BODILESS: [u16; 2] = [204, 304];

/// Whether only the connection's end ends the answer's body.
pub(crate) fn ends_by_close(status: u16, headers: &HeaderMap) -> bool {
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !framed && !BODILESS.contains(&status)
}
