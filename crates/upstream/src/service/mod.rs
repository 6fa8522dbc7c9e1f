//! Plain services: any HTTP/1.1 service, one whole answer a call.

mod http;

use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::{HeaderField, RequestId};

pub use self::http::HttpService;
use crate::{CallError, Local};

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Request.
    pub request: RequestId,
    /// Attempt, from 1.
    pub attempt: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Caller's headers; those of one hop and `Authorization` are not passed on.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller; those of one hop are left out.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}

/// A plain service.
pub trait Service {
    /// Sends `call` once and gives its whole answer, whatever its status, if it comes within
    /// `span`.
    ///
    /// # Errors
    /// [`CallError`]; its `sent` tells whether the service may have acted.
    fn call<'a>(
        &'a self,
        call: &'a ServiceCall,
        span: Duration,
    ) -> Local<'a, Result<ServiceResponse, CallError>>;

    /// Whether it is ready.
    ///
    /// # Errors
    /// [`CallError`] if it is not.
    fn health(&self) -> Local<'_, Result<(), CallError>>;
}
