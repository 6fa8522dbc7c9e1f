//! Plain services: any HTTP/1.1 service. Each call gives one complete response.

mod http;

use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::{HeaderField, RequestId};

pub use self::http::HttpService;
use crate::{CallError, Local};

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Id of the request.
    pub request: RequestId,
    /// Attempt number, starting at 1.
    pub attempt: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers of the caller. Hop-by-hop headers and `Authorization` are not forwarded.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller, without hop-by-hop headers.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}

/// A plain service.
pub trait Service {
    /// Sends `call` once and returns the complete response, with any status. The response must
    /// arrive within `timeout`.
    ///
    /// # Errors
    /// [`CallError`]; its `sent` tells whether the service may have processed the request.
    fn call<'a>(
        &'a self,
        call: &'a ServiceCall,
        timeout: Duration,
    ) -> Local<'a, Result<ServiceResponse, CallError>>;

    /// Checks that the service is ready.
    ///
    /// # Errors
    /// [`CallError`] if it is not.
    fn health(&self) -> Local<'_, Result<(), CallError>>;
}
