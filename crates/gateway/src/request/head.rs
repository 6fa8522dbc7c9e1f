//! Heads on their way: what concerns one connection only is taken out.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, request};

/// Headers of one connection that have no constant.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Host that a request names, without a port.
pub(super) fn host(head: &request::Parts) -> &str {
    let named = head.headers.get(http::header::HOST);
    let named = named.and_then(|v| v.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    host.split_once(':').map_or(host, |(host, _)| host)
}

/// Takes out what concerns one connection only.
pub(super) fn strip(headers: &mut HeaderMap) {
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
    let own = [
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
    for name in own {
        headers.remove(name);
    }
}
