//! Time limits that at-most-once execution depends on.

use pumicecleat_types::Millis;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Limits that are invalid or contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LimitError {
    /// The window is zero.
    #[snafu(display("step limits: the window is zero"))]
    ZeroWindow,
    /// The log trims records that still count.
    #[snafu(display("step limits: window {}+{} ms, but the log keeps {} ms", window.0, max_ahead.0, log_retention.0))]
    RetentionTooShort {
        /// Requested window.
        window: Millis,
        /// Requested limit on how far ahead the time in a key may be.
        max_ahead: Millis,
        /// Retention of the log.
        log_retention: Millis,
    },
}

/// Time limits of idempotency keys, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Limits {
    window: Millis,
    #[serde(rename = "ahead")]
    max_ahead: Millis,
}

impl Limits {
    /// Creates limits for a log that keeps records for `log_retention`. Within `window` a key has
    /// one effect; the time in a key may be at most `max_ahead` ahead of the log's clock.
    ///
    /// # Errors
    /// [`LimitError`] if the window is zero, or if `window` plus `max_ahead` is not shorter than
    /// `log_retention`.
    pub fn new(
        window: Millis,
        max_ahead: Millis,
        log_retention: Millis,
    ) -> Result<Self, LimitError> {
        ensure!(window > Millis(0), ZeroWindowSnafu);
        let fits = window + max_ahead < log_retention;
        ensure!(
            fits,
            RetentionTooShortSnafu {
                window,
                max_ahead,
                log_retention
            }
        );
        Ok(Self { window, max_ahead })
    }

    /// Window, starting at a key's first record, in which the key has one effect.
    #[must_use]
    pub fn window(&self) -> Millis {
        self.window
    }

    /// How far ahead of the log's clock the time in a key may be.
    #[must_use]
    pub fn max_ahead(&self) -> Millis {
        self.max_ahead
    }

    /// How long a record counts. Longer than the window by `max_ahead`, so that a key whose time
    /// is ahead has expired before its records are forgotten.
    pub(crate) fn retention(&self) -> Millis {
        self.window + self.max_ahead
    }

    /// How long after its claim an attempt may be sent. Half the window, so that it ends well
    /// before the attempt's record is forgotten.
    pub(crate) fn max_send_delay(&self) -> Millis {
        Millis(self.window.0 / 2)
    }
}
