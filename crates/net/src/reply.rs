//! Replies of the usual kinds.

use std::time::Duration;

use http::HeaderMap;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use pumicecleat_types::encode;
use serde::Serialize;

use crate::{Body, Reply};

/// Reply with a `MessagePack` body.
#[must_use]
pub fn peer_reply<T: Serialize>(message: &T) -> Reply {
    reply(200, "application/msgpack", encode(message))
}

/// Reply with a JSON body.
#[must_use]
pub fn json_reply<T: Serialize>(status: u16, value: &T) -> Reply {
    // Our values have text keys only, so that they always encode.
    let body = serde_json::to_vec(value).unwrap_or_default();
    reply(status, "application/json", body)
}

/// Reply with a text body.
#[must_use]
pub fn plain_reply(status: u16, text: &str) -> Reply {
    reply(
        status,
        "text/plain; charset=utf-8",
        text.as_bytes().to_vec(),
    )
}

fn reply(status: u16, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Reply::new(Body::whole(body));
    *reply.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let kind = http::HeaderValue::from_static(kind);
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Span of a `Retry-After` in seconds; a date is not read.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
