//! Time for code that reads no clock: milliseconds since an origin that the caller chooses.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Instant or duration, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Duration from `earlier` to `self`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Duration in seconds.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "durations stay far below 2^52 ms"
    )]
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// Instant on a clock that also counts the time in which the VM was suspended, in milliseconds since the VM
/// started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub u64);

impl BootTime {
    /// Duration from `earlier` to `self`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Instant that was `span` before `self`.
    #[must_use]
    pub fn before(self, span: Millis) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}
