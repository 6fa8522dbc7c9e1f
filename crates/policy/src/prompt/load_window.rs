//! Number of loads from the weight store that one engine has in progress.
//!
//! All engines share the store's bandwidth. Beyond it, each load takes longer, and the loads requested first
//! finish no earlier than the last. Engines exchange no messages about their loads: each one observes how long
//! its own take, compared with the shortest recent one, and adjusts its window.
//!
//! Where there are more engines than the store serves loads at full speed, one load per engine is already too
//! many. A window below one is therefore allowed: loads then start at intervals of the shortest load time
//! divided by the window.

use pumicecleat_types::Millis;

/// Initial and maximum window; the platform allows four concurrent loads. When eight engines start at once
/// and the store serves two loads at full speed, 0.98 of all requests are served with the window, and 0.82
/// with four concurrent loads each (`prompt_load`).
const INITIAL_WINDOW: f64 = 2.0;
const MAX_WINDOW: f64 = 4.0;

/// Load time, relative to the shortest recent one, up to which the store is considered able to serve one more
/// load.
const UNCONGESTED_RATIO: f64 = 1.5;

/// Additive increase of the window after such a load.
const WINDOW_INCREASE: f64 = 0.5;

/// Part of the window above its minimum that is kept after a slower load.
const WINDOW_DECREASE: f64 = 0.5;

/// Fraction by which the shortest recent load time grows with each load.
const SHORTEST_GROWTH: f64 = 0.01;

/// Window of an engine's loads from the weight store.
#[derive(Clone, Debug)]
pub(super) struct LoadWindow {
    min: f64,
    size: f64,
    /// Shortest recent load time, ms.
    shortest_ms: Option<f64>,
    last_start: Option<Millis>,
}

impl Default for LoadWindow {
    fn default() -> Self {
        Self {
            min: INITIAL_WINDOW,
            size: INITIAL_WINDOW,
            shortest_ms: None,
            last_start: None,
        }
    }
}

impl LoadWindow {
    /// Sets the smallest window.
    pub(super) fn set_min(&mut self, min: f64) {
        if (min - self.min).abs() > f64::EPSILON {
            self.min = min;
            self.reset();
        }
    }

    /// Resets the window after a restart of the engine: other engines have probably restarted as well.
    pub(super) fn reset(&mut self) {
        self.size = self.min.clamp(1.0, INITIAL_WINDOW);
        self.last_start = None;
    }

    /// Whether another load may start while `in_progress` loads are.
    pub(super) fn may_start(&self, in_progress: usize, now: Millis) -> bool {
        let next = self.last_start.map(|at| at + self.spacing());
        in_progress < whole(self.size).max(1) && next.is_none_or(|next| now >= next)
    }

    /// Records that a load starts.
    pub(super) fn record_start(&mut self, now: Millis) {
        self.last_start = Some(now);
    }

    /// Adjusts the window to a load that took `duration_ms`.
    pub(super) fn record_load(&mut self, duration_ms: f64) {
        let shortest_ms = self.shortest_ms.map_or(duration_ms, |shortest| {
            (shortest * (1.0 + SHORTEST_GROWTH)).min(duration_ms)
        });
        self.shortest_ms = Some(shortest_ms);
        self.size = if duration_ms <= shortest_ms * UNCONGESTED_RATIO {
            (self.size + WINDOW_INCREASE).min(MAX_WINDOW)
        } else {
            self.min + (self.size - self.min) * WINDOW_DECREASE
        };
    }

    /// Size of the window.
    pub(super) fn size(&self) -> f64 {
        self.size
    }

    /// Time between the starts of two loads, if the window is smaller than one load.
    fn spacing(&self) -> Millis {
        if self.size >= 1.0 {
            return Millis(0);
        }
        Millis(whole(self.shortest_ms.unwrap_or_default() / self.size) as u64)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive numbers"
)]
fn whole(n: f64) -> usize {
    n as usize
}
