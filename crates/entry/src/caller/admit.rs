//! Admission of requests and authentication of callers.

use http::header::AUTHORIZATION;
use pumicecleat_net::Incoming;
use pumicecleat_types::CallerId;

use crate::fault::{Fault, RETRY};
use crate::shared::Shared;

/// Authentication scheme in the `Authorization` header.
const BEARER_PREFIX: &str = "bearer ";

/// Refuses new requests while the process stops or is not ready, such as without a configuration.
pub(super) fn check_accepting(shared: &Shared) -> Result<(), Fault> {
    if shared.stop.is_asked() {
        return Err(Fault::later("stopping", "this entry is stopping", RETRY));
    }
    if !shared.readiness.is_ready() {
        return Err(Fault::later("not_ready", "this entry is not ready", RETRY));
    }
    Ok(())
}

/// Authenticates the caller of a request.
pub(super) fn identify(shared: &Shared, incoming: &Incoming) -> Result<CallerId, Fault> {
    let caller = bearer_key(incoming).and_then(|key| shared.current.caller(key));
    caller.ok_or_else(|| Fault::bad(401, "invalid_api_key", "no known API key in Authorization"))
}

fn bearer_key(incoming: &Incoming) -> Option<&str> {
    let value = incoming.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..BEARER_PREFIX.len())?;
    scheme
        .eq_ignore_ascii_case(BEARER_PREFIX)
        .then(|| value[BEARER_PREFIX.len()..].trim())
}
