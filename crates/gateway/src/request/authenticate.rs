//! Identification of callers by their keys.

use std::rc::Rc;

use http::HeaderValue;
use http::header::WWW_AUTHENTICATE;
use pumicecleat_catalog::{Account, Layout, Route};
use pumicecleat_net::Reply;

use super::refuse::{Refusal, reject};
use super::trace::RequestTrace;
use crate::shared::Shared;
use crate::{CallerName, Credentials};

/// Caller of a request.
#[derive(Clone, Debug)]
pub(super) enum Caller {
    /// There are no accounts.
    Unmanaged,
    /// The route needs no key, and the request has none that is known.
    Anonymous,
    /// The holder of the key.
    Account(Rc<Account>),
}

/// Reason why a request is not accepted.
pub(super) enum Denial {
    /// No key, or an unknown one.
    Unauthenticated(&'static str),
    /// The keys known may be out of date.
    Outdated,
}

impl Caller {
    /// Account of the caller.
    pub(super) fn account(&self) -> Option<&Account> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unmanaged | Self::Anonymous => None,
        }
    }

    /// Name that upstreams are told.
    pub(super) fn name(&self) -> CallerName<'_> {
        match self {
            Self::Unmanaged => CallerName::Unmanaged,
            Self::Anonymous => CallerName::Anonymous,
            Self::Account(account) => CallerName::Account(&account.name),
        }
    }
}

/// Identifies the caller of a request for `route`. While the keys may be out of date, requests that need one are
/// denied without regard to it.
pub(super) fn authenticate(
    shared: &Shared,
    layout: &Layout,
    route: &Route,
    credentials: Credentials,
) -> Result<Caller, Denial> {
    let Some(accounts) = &layout.accounts else {
        return Ok(Caller::Unmanaged);
    };
    let holder = match credentials {
        Credentials::Key(key) => accounts.find(&key).cloned(),
        Credentials::Absent | Credentials::Malformed => None,
    };
    if route.public {
        return Ok(holder.map_or(Caller::Anonymous, Caller::Account));
    }
    if !shared.are_keys_current() {
        return Err(Denial::Outdated);
    }
    match (holder, credentials) {
        (Some(account), _) => Ok(Caller::Account(account)),
        (None, Credentials::Absent) => Err(Denial::Unauthenticated("no_key")),
        (None, Credentials::Malformed) => Err(Denial::Unauthenticated("key_malformed")),
        (None, Credentials::Key(_)) => Err(Denial::Unauthenticated("key_unknown")),
    }
}

impl Denial {
    /// Response to the request.
    pub(super) fn reply(self, shared: &Shared, trace: &RequestTrace) -> Reply {
        match self {
            Self::Outdated => Refusal::outdated().reply(trace),
            Self::Unauthenticated(reason) => {
                let mut reply = reject(trace, 401, reason);
                let scheme = HeaderValue::from_static(shared.header_codec.auth_scheme());
                reply.headers_mut().insert(WWW_AUTHENTICATE, scheme);
                reply
            }
        }
    }
}
