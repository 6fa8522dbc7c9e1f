//! Weight store: engines fetch from it by themselves; the side asks only what is there.

mod http;

use std::time::Duration;

use snafu::Snafu;

use crate::{Local, RequestError};
pub use http::HttpStore;

/// The store did not say.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// Over its rate, or down for a while.
    #[snafu(display("weight store busy: {source}"))]
    Busy {
        /// Cause, with step and peer.
        source: RequestError,
        /// When to come back, by the store's word.
        retry_after: Option<Duration>,
    },
    /// Exchange failed.
    #[snafu(display("weight store: {source}"))]
    Failed {
        /// Cause, with step and peer.
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
    /// Whether there are weights at `path`.
    ///
    /// # Errors
    /// [`StoreError`] if the store does not say.
    fn exists<'a>(&'a self, path: &'a str) -> Local<'a, Result<bool, StoreError>>;
}
