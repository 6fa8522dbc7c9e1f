//! Plain services and their routes.

use pumicecleat_types::PoolId;
use serde::{Deserialize, Serialize};

/// Plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Pool that runs it.
    pub pool: PoolId,
    /// Routes; the longest matching prefix applies.
    pub routes: Vec<Route>,
}

/// Route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Method, or `None` for any.
    pub method: Option<String>,
    /// Prefix of the path that callers request, starting with `/`.
    pub prefix: String,
    /// Whether calls may be retried.
    pub idempotent: bool,
    /// Rule for the `Idempotency-Key` of a route that is not idempotent.
    pub key: IdempotencyKeyRule,
}

/// Whether a call that is not idempotent must carry an `Idempotency-Key`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyKeyRule {
    /// Calls without a key are refused.
    #[default]
    Required,
    /// Calls without a key are sent once and never retried.
    Optional,
}

impl Service {
    /// Returns the route of a call: among those for its method, the one with the longest prefix
    /// that ends at a segment boundary; at equal length, the one that names the method.
    ///
    /// A path that servers could interpret in different ways (dot segments, empty segments, encoded
    /// dots or slashes, backslashes) has no route, so that it can't be mistaken for an idempotent
    /// one.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if !is_unambiguous_path(path) {
            return None;
        }
        self.routes
            .iter()
            .filter(|r| r.matches_method(method) && r.matches_path(path))
            .max_by_key(|r| (r.prefix.len(), r.method.is_some()))
    }
}

impl Route {
    fn matches_method(&self, method: &str) -> bool {
        self.method.as_deref().is_none_or(|m| m == method)
    }

    fn matches_path(&self, path: &str) -> bool {
        if self.prefix == "/" {
            return true;
        }
        path.strip_prefix(self.prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

fn is_unambiguous_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let body = rest.strip_suffix('/').unwrap_or(rest);
    let lower = body.to_ascii_lowercase();
    let encoded = ["%2e", "%2f", "%5c", "\\"];
    let is_root = body.is_empty() && rest.is_empty();
    is_root
        || (!encoded.iter().any(|e| lower.contains(e))
            && body.split('/').all(|s| !matches!(s, "" | "." | "..")))
}
