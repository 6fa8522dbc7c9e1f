//! Removal of the headers that apply to a single connection only.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, request};

/// Hop-by-hop headers that `http` has no constant for.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Host that a request names, without the port.
pub(super) fn host(head: &request::Parts) -> &str {
    let named = head.headers.get(http::header::HOST);
    let named = named.and_then(|v| v.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    host.split_once(':').map_or(host, |(host, _)| host)
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let hop_headers = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        EXPECT,
        CONTENT_LENGTH,
    ];
    for name in hop_headers {
        headers.remove(name);
    }
}
