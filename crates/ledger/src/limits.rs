//! Spans of time that the promise of at most one effect rests on.

use pumicecleat_types::Millis;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Spans that don't fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LimitError {
    /// The window is no time at all.
    #[snafu(display("step limits: the window is zero"))]
    ZeroWindow,
    /// The log trims records while they still count.
    #[snafu(display("step limits: window {}+{} ms, but the log keeps {} ms", window.0, max_ahead.0, log_retention.0))]
    RetentionTooShort {
        /// Window asked for.
        window: Millis,
        /// Span ahead asked for.
        max_ahead: Millis,
        /// Retention of the log.
        log_retention: Millis,
    },
}

/// Spans, all in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Limits {
    window: Millis,
    #[serde(rename = "ahead")]
    max_ahead: Millis,
}

impl Limits {
    /// A window in which a key has one effect, and how far ahead of the log's clock the time in
    /// a key may be, for a log that keeps records for `log_retention`.
    ///
    /// # Errors
    /// [`LimitError`] if the window is zero, or window and `max_ahead` together reach `log_retention`.
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

    /// Window from a key's first record on.
    #[must_use]
    pub fn window(&self) -> Millis {
        self.window
    }

    /// How far ahead the time in a key may be.
    #[must_use]
    pub fn max_ahead(&self) -> Millis {
        self.max_ahead
    }

    /// How long a record counts. By `max_ahead` longer than the window, so that a key whose time is
    /// ahead has grown too old before its records are forgotten.
    pub(crate) fn keep(&self) -> Millis {
        self.window + self.max_ahead
    }

    /// How long after its claim an attempt may still be sent: well before its record is forgotten.
    pub(crate) fn patience(&self) -> Millis {
        Millis(self.window.0 / 2)
    }
}
