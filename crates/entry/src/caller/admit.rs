//! Whether a request is taken at all, and whose it is.

use http::header::AUTHORIZATION;
use pumicecleat_net::Incoming;
use pumicecleat_types::CallerId;

use crate::api_error::{ApiError, DEFAULT_RETRY_AFTER};
use crate::shared::Shared;

/// Scheme of the header.
const SCHEME: &str = "bearer ";

/// Refuses new work of a process that stops or has no configuration.
pub(super) fn check_open(shared: &Shared) -> Result<(), ApiError> {
    if shared.stop.is_asked() {
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

/// Caller of a request.
pub(super) fn identify(shared: &Shared, incoming: &Incoming) -> Result<CallerId, ApiError> {
    let caller = bearer(incoming).and_then(|key| shared.config.caller_by_key(key));
    caller
        .ok_or_else(|| ApiError::rejected(401, "invalid_api_key", "no known key in Authorization"))
}

fn bearer(incoming: &Incoming) -> Option<&str> {
    let value = incoming.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..SCHEME.len())?;
    scheme
        .eq_ignore_ascii_case(SCHEME)
        .then(|| value[SCHEME.len()..].trim())
}
