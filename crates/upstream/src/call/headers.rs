//! Forwarding of headers to and from upstreams.
//!
//! Hop-by-hop fields and fields named by `Connection` are not forwarded (RFC 9110, section 7.6.1).
//! `Authorization` isn't either: it holds the caller's credentials for this system, not for the
//! upstream.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use pumicecleat_types::HeaderField;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop fields, and `Content-Length` and `Host`, which are set anew for the next hop.
const HOP_BY_HOP: [HeaderName; 12] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of a caller's request that are forwarded to the upstream.
pub(crate) fn forward_to_upstream(fields: &[HeaderField]) -> Result<HeaderMap, String> {
    let all = parse_fields(fields)?;
    let options = connection_options(&all);
    let mut headers = HeaderMap::new();
    for (name, value) in &all {
        if !is_hop_by_hop(name, &options) && name != AUTHORIZATION {
            headers.append(name, value.clone());
        }
    }
    Ok(headers)
}

/// Headers of an upstream's response that are forwarded to the caller. Values that are not UTF-8
/// are left out.
pub(crate) fn forward_to_caller(all: &HeaderMap) -> Vec<HeaderField> {
    let options = connection_options(all);
    let kept = all
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name, &options));
    kept.filter_map(|(name, value)| header_field(name, value))
        .collect()
}

fn parse_fields(fields: &[HeaderField]) -> Result<HeaderMap, String> {
    let mut all = HeaderMap::new();
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_str(&field.value);
        match (name, value) {
            (Ok(name), Ok(value)) => all.append(name, value),
            _ => return Err(format!("header {:?}", field.name)),
        };
    }
    Ok(all)
}

fn connection_options(all: &HeaderMap) -> Vec<String> {
    let values = all.get_all(CONNECTION).into_iter();
    let values = values.filter_map(|v| v.to_str().ok());
    let names = values.flat_map(|t| t.split(','));
    names.map(|n| n.trim().to_ascii_lowercase()).collect()
}

fn is_hop_by_hop(name: &HeaderName, options: &[String]) -> bool {
    HOP_BY_HOP.contains(name) || options.iter().any(|n| n == name.as_str())
}

fn header_field(name: &HeaderName, value: &HeaderValue) -> Option<HeaderField> {
    Some(HeaderField {
        name: name.as_str().to_owned(),
        value: std::str::from_utf8(value.as_bytes()).ok()?.to_owned(),
    })
}
