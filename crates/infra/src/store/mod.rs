//! Weight store. Engines download weights themselves; the side only checks which weights exist.

mod http;

use std::time::Duration;

use snafu::Snafu;

use crate::{Local, RequestError};
pub use http::HttpStore;

/// Failed request to the weight store.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// Rate limit exceeded, or temporarily unavailable.
    #[snafu(display("weight store busy: {source}"))]
    Busy {
        /// Cause, including the step and the peer.
        source: RequestError,
        /// Retry delay that the store requested.
        retry_after: Option<Duration>,
    },
    /// The request failed.
    #[snafu(display("weight store: {source}"))]
    Failed {
        /// Cause, including the step and the peer.
        source: RequestError,
    },
}

impl From<RequestError> for StoreError {
    fn from(source: RequestError) -> Self {
        match source {
            RequestError::Status {
                status: 429 | 503,
                retry_after,
                ..
            } => Self::Busy {
                source,
                retry_after,
            },
            _ => Self::Failed { source },
        }
    }
}

/// The weight store.
pub trait Store {
    /// Whether weights exist at `path`.
    ///
    /// # Errors
    /// [`StoreError`] if the store gives no usable response.
    fn exists<'a>(&'a self, path: &'a str) -> Local<'a, Result<bool, StoreError>>;
}
