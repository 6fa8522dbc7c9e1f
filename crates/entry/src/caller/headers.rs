//! Request and response headers.

use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use pumicecleat_types::{CallerId, HeaderField, Millis};

use crate::api_error::ApiError;
use crate::request::Exchange;
use crate::shared::Shared;

/// Header with the time limit of the request in milliseconds.
pub(super) const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Header with the priority; requests of higher priority are served first.
pub(super) const X_PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Header with the idempotency key of a call that must not take effect twice.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const X_ADAPTER: HeaderName = HeaderName::from_static("x-adapter");
const X_VERSION: HeaderName = HeaderName::from_static("x-version");
const X_ATTEMPTS: HeaderName = HeaderName::from_static("x-attempts");

/// Headers that apply to this hop only and are not forwarded in either direction.
const NOT_FORWARDED: [&str; 17] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-priority",
    "x-request-id",
];

/// Time limit of a request: the one that the caller requests, up to the configured maximum.
pub(super) fn read_deadline(shared: &Shared, headers: &HeaderMap) -> Result<Millis, ApiError> {
    let limits = shared.config.with(|config| config.limits);
    let Some(value) = headers.get(X_DEADLINE_MS) else {
        return Ok(Millis(limits.deadline_ms));
    };
    match read_number::<u64>(value) {
        Some(ms) if ms > 0 => Ok(Millis(ms.min(limits.longest_ms))),
        _ => {
            let message = "X-Deadline-Ms is not a number of milliseconds from 1";
            Err(ApiError::rejected(400, "bad_deadline", message))
        }
    }
}

/// Priority that the caller requests, if it is permitted.
pub(super) fn read_priority(
    shared: &Shared,
    caller: &CallerId,
    headers: &HeaderMap,
) -> Result<u8, ApiError> {
    let Some(value) = headers.get(X_PRIORITY) else {
        return Ok(0);
    };
    let Some(requested) = read_number::<u8>(value) else {
        let message = "X-Priority is not a number from 0 to 255";
        return Err(ApiError::rejected(400, "bad_priority", message));
    };
    let max_priority = shared
        .config
        .with(|config| config.callers.get(caller).map_or(0, |c| c.priority));
    if requested > max_priority {
        let message = format!("X-Priority may be at most {max_priority} for this caller");
        return Err(ApiError::rejected(403, "priority_too_high", message));
    }
    Ok(requested)
}

/// Idempotency key, if the request has one.
pub(super) fn read_key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|_| values.next().is_none());
    let Some(text) = text else {
        let message = "Idempotency-Key is not one line of ASCII";
        return Err(ApiError::rejected(400, "key_invalid", message));
    };
    Ok(Some(text.to_owned()))
}

/// Request headers that are forwarded to the upstream.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()));
    forwarded
        .filter_map(|(name, value)| {
            Some(HeaderField {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}

/// Adds the forwarded headers of the upstream to a reply.
pub(super) fn insert_forwarded(headers: &mut HeaderMap, fields: &[HeaderField]) {
    for field in fields.iter().filter(|f| is_forwarded(&f.name)) {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_str(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Adds headers that name the adapter and version and the number of attempts.
pub(super) fn insert_attempt_headers(headers: &mut HeaderMap, exchange: &Exchange) {
    headers.insert(X_ATTEMPTS, HeaderValue::from(exchange.history.attempts));
    let Some((adapter, version)) = exchange.job.engine_name().and_then(|e| e.rsplit_once('@'))
    else {
        return;
    };
    let values = (
        HeaderValue::from_str(adapter),
        HeaderValue::from_str(version),
    );
    if let (Ok(adapter), Ok(version)) = values {
        headers.insert(X_ADAPTER, adapter);
        headers.insert(X_VERSION, version);
    }
}

fn is_forwarded(name: &str) -> bool {
    !NOT_FORWARDED.contains(&name)
}

fn read_number<T: std::str::FromStr>(value: &HeaderValue) -> Option<T> {
    value.to_str().ok()?.trim().parse().ok()
}
