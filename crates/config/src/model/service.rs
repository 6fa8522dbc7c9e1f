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
    pub key: KeyRule,
}

/// Whether a call that may not be repeated must carry a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRule {
    /// Refused without one.
    #[default]
    Required,
    /// Without one it is sent once and never again.
    Optional,
}
