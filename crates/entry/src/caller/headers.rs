//! What a request's head says beside its target.

use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use pumicecleat_types::{CallerId, HeaderField, Millis};

use crate::api_error::ApiError;
use crate::request::Exchange;
use crate::shared::Shared;

/// Header with the time that the caller gives its request, milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Header with the priority, higher first.
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Header with the key of a call that may not be repeated.
pub(super) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

const ADAPTER: HeaderName = HeaderName::from_static("x-adapter");
const VERSION: HeaderName = HeaderName::from_static("x-version");
const ATTEMPTS: HeaderName = HeaderName::from_static("x-attempts");

/// Headers that are this hop's own and not passed on, in either direction.
const OWN: [&str; 17] = [
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

/// Time that a request is given: what its caller asks, up to the declared maximum.
pub(super) fn read_deadline(shared: &Shared, headers: &HeaderMap) -> Result<Millis, ApiError> {
    let limits = shared.config.with(|config| config.limits);
    let Some(value) = headers.get(DEADLINE) else {
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

/// Priority that a caller asks, if it may.
pub(super) fn read_priority(
    shared: &Shared,
    caller: &CallerId,
    headers: &HeaderMap,
) -> Result<u8, ApiError> {
    let Some(value) = headers.get(PRIORITY) else {
        return Ok(0);
    };
    let Some(asked) = read_number::<u8>(value) else {
        let message = "X-Priority is not a number from 0 to 255";
        return Err(ApiError::rejected(400, "bad_priority", message));
    };
    let most = shared
        .config
        .with(|config| config.callers.get(caller).map_or(0, |c| c.priority));
    if asked > most {
        let message = format!("X-Priority may be at most {most} for this caller");
        return Err(ApiError::rejected(403, "priority_too_high", message));
    }
    Ok(asked)
}

/// Idempotency key, if the caller gives one.
pub(super) fn read_key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    let mut values = headers.get_all(KEY).iter();
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

/// Headers that an upstream gets to see.
pub(super) fn passed_on(headers: &HeaderMap) -> Vec<HeaderField> {
    let named = headers.iter().filter(|(name, _)| is_passed(name.as_str()));
    named
        .filter_map(|(name, value)| {
            Some(HeaderField {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}

/// Puts an upstream's headers into an answer.
pub(super) fn put_passed(headers: &mut HeaderMap, fields: &[HeaderField]) {
    for field in fields.iter().filter(|f| is_passed(&f.name)) {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_str(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Names what ran, and how many attempts it took.
pub(super) fn put_attempts(headers: &mut HeaderMap, exchange: &Exchange) {
    headers.insert(ATTEMPTS, HeaderValue::from(exchange.history.attempts));
    let Some((adapter, version)) = exchange.job.engine().and_then(|e| e.rsplit_once('@')) else {
        return;
    };
    let values = (
        HeaderValue::from_str(adapter),
        HeaderValue::from_str(version),
    );
    if let (Ok(adapter), Ok(version)) = values {
        headers.insert(ADAPTER, adapter);
        headers.insert(VERSION, version);
    }
}

fn is_passed(name: &str) -> bool {
    !OWN.contains(&name)
}

fn read_number<T: std::str::FromStr>(value: &HeaderValue) -> Option<T> {
    value.to_str().ok()?.trim().parse().ok()
}
