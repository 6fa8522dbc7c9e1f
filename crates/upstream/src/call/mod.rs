//! Parts shared by calls to engines and services: errors, ids of each call, response framing.

mod client;
mod error;
mod framing;
mod headers;
mod ids;

pub(crate) use client::{BufferedResponse, UpstreamClient, build_request};
pub use error::{CallError, RetryAfter};
pub(crate) use error::{InvalidContentSnafu, NetSnafu, RequestSnafu, UnframedBodySnafu};
pub(crate) use framing::is_close_delimited;
pub(crate) use headers::{forward_to_caller, forward_to_upstream};
pub(crate) use ids::{CallIds, IDEMPOTENCY_KEY};
