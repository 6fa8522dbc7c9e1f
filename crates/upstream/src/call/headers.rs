//! Headers that pass an upstream's border, and those that belong to one connection only.
//!
//! RFC 9110, section 7.6.1: the fields of one hop, and those that `Connection` names, are not
//! passed on. `Authorization` ends here too: the caller showed it to us, not to the upstream.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use pumicecleat_types::HeaderField;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields of one hop. Length and host are set anew on the next.
const HOP_FIELDS: [HeaderName; 12] = [
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

/// Headers of a caller that go to the upstream.
pub(crate) fn pass_on(fields: &[HeaderField]) -> Result<HeaderMap, String> {
    let all = read_fields(fields)?;
    let named = named_by_connection(&all);
    let mut headers = HeaderMap::new();
    for (name, value) in &all {
        if !is_hop(name, &named) && name != AUTHORIZATION {
            headers.append(name, value.clone());
        }
    }
    Ok(headers)
}

/// Headers of an upstream that go to the caller; one that is not UTF-8 is left out.
pub(crate) fn pass_back(all: &HeaderMap) -> Vec<HeaderField> {
    let named = named_by_connection(all);
    let kept = all.iter().filter(|(name, _)| !is_hop(name, &named));
    kept.filter_map(|(name, value)| field(name, value))
        .collect()
}

fn read_fields(fields: &[HeaderField]) -> Result<HeaderMap, String> {
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

fn named_by_connection(all: &HeaderMap) -> Vec<String> {
    let texts = all.get_all(CONNECTION).into_iter();
    let texts = texts.filter_map(|v| v.to_str().ok());
    let names = texts.flat_map(|t| t.split(','));
    names.map(|n| n.trim().to_ascii_lowercase()).collect()
}

fn is_hop(name: &HeaderName, named: &[String]) -> bool {
    HOP_FIELDS.contains(name) || named.iter().any(|n| n == name.as_str())
}

fn field(name: &HeaderName, value: &HeaderValue) -> Option<HeaderField> {
    Some(HeaderField {
        name: name.as_str().to_owned(),
        value: std::str::from_utf8(value.as_bytes()).ok()?.to_owned(),
    })
}
