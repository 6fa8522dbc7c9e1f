//! Plain services and their routes.

use pumicecleat_types::PoolId;
use serde::{Deserialize, Serialize};

/// Plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Pool that runs it.
    pub pool: PoolId,
    /// Routes; the longest matching prefix holds.
    pub routes: Vec<Route>,
}

/// Route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Method, or `None` for each.
    pub method: Option<String>,
    /// Path prefix, as callers see it, from `/`.
    pub prefix: String,
    /// May be sent again.
    pub idempotent: bool,
    /// Rule for the `Idempotency-Key` of a route that is not idempotent.
    pub key: IdempotencyKeyRule,
}

/// Whether a call that may not be repeated must carry a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyKeyRule {
    /// Refused without one.
    #[default]
    Required,
    /// Without one it is sent once and never again.
    Optional,
}

impl Service {
    /// Route of a call: of those for its method, the one with the longest prefix that ends on a
    /// border of segments; at equal length, the one that names the method.
    ///
    /// A path that servers could read in two ways (dot segments, empty segments, encoded dots or
    /// slashes, backslashes) has no route, so that it can't pass for an idempotent one.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if !is_plain(path) {
            return None;
        }
        self.routes
            .iter()
            .filter(|r| r.takes(method) && r.covers(path))
            .max_by_key(|r| (r.prefix.len(), r.method.is_some()))
    }
}

impl Route {
    fn takes(&self, method: &str) -> bool {
        self.method.as_deref().is_none_or(|m| m == method)
    }

    fn covers(&self, path: &str) -> bool {
        if self.prefix == "/" {
            return true;
        }
        path.strip_prefix(self.prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

fn is_plain(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let body = rest.strip_suffix('/').unwrap_or(rest);
    let lower = body.to_ascii_lowercase();
    let encoded = ["%2e", "%2f", "%5c", "\\"];
    let bare = body.is_empty() && rest.is_empty();
    bare || (!encoded.iter().any(|e| lower.contains(e))
        && body.split('/').all(|s| !matches!(s, "" | "." | "..")))
}
