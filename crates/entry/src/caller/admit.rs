//! Admission of requests and authentication of callers.

use http::header::AUTHORIZATION;
use pumicecleat_net::Incoming;
use pumicecleat_types::CallerId;

use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::shared::Shared;

/// Authentication scheme in the `Authorization` header.
const BEARER_PREFIX: &str = "bearer ";

/// Refuses new requests while the process stops or is not ready, such as without a configuration.
pub(super) fn check_accepting(shared: &Shared) -> Result<(), ApiError> {
    if shared.stop.is_requested() {
        return Err(ApiError::unavailable(
            "stopping",
            "this entry is stopping",
            DEFAULT_RETRY_AFTER,
        ));
    }
    if !shared.readiness.is_ready() {
        return Err(ApiError::unavailable(
            "not_ready",
            "this entry is not ready",
            DEFAULT_RETRY_AFTER,
        ));
    }
    Ok(())
}

/// Authenticates the caller of a request.
pub(super) fn identify(shared: &Shared, incoming: &Incoming) -> Result<CallerId, ApiError> {
    let caller = bearer_key(incoming).and_then(|key| shared.config.caller_by_key(key));
    caller
        .ok_or_else(|| ApiError::rejected(401, "invalid_api_key", "no known key in Authorization"))
}

fn bearer_key(incoming: &Incoming) -> Option<&str> {
    let value = incoming.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..BEARER_PREFIX.len())?;
    scheme
        .eq_ignore_ascii_case(BEARER_PREFIX)
        .then(|| value[BEARER_PREFIX.len()..].trim())
}
