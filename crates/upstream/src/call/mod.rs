//! What calls of engines and services share: errors, ids on each call, proof of a whole answer.

mod error;
mod exchange;
mod headers;
mod ids;
mod whole;

pub use error::{CallError, RetryAfter};
pub(crate) use error::{InvalidContentSnafu, NetSnafu, RequestSnafu, UnframedBodySnafu};
pub(crate) use exchange::{Exchange, WholeAnswer, build};
pub(crate) use headers::{pass_back, pass_on};
pub(crate) use ids::{CallIds, IDEMPOTENCY_KEY};
pub(crate) use whole::ends_by_close;
