//! Learned load times of adapters at one engine, and the learned size of its host's cache.
//!
//! An adapter that was never loaded at an engine comes from the weight store, which all engines share. One
//! that was loaded recently comes from the host's memory, several times faster. The duration of a load tells
//! which of the two it was, and the number of adapters unloaded since the adapter was last loaded tells how
//! many adapters the host caches.

use pumicecleat_types::{EngineTraits, Millis};

use super::load_window::LoadWindow;

/// Weight of the newest load in the mean. The store's bandwidth drops for several seconds while many engines
/// load from it.
const NEWEST_WEIGHT: f64 = 0.25;

/// Fraction of the load time from the store below which a load came from host memory. Reports arrive every 25
/// to 100 ms and add up to that to both times.
const CACHED_LOAD_RATIO: f64 = 0.4;

/// Load times of adapters, and the size of the host's cache.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTimes {
    /// Load time from the weight store, ms.
    store_ms: Option<f64>,
    /// Load time from host memory, ms.
    cached_ms: Option<f64>,
    /// Number of adapters that the host caches in addition to the loaded ones.
    cache_size: Option<usize>,
    window: LoadWindow,
}

impl LoadTimes {
    /// Records the load of an adapter. `depth` is the number of other adapters unloaded since this one was,
    /// or `None` if it was never loaded here.
    pub(super) fn record(&mut self, depth: Option<usize>, duration: Millis) {
        let duration_ms = duration.as_secs() * 1_000.0;
        let cached = self
            .store_ms
            .is_some_and(|s| duration_ms < s * CACHED_LOAD_RATIO);
        if cached {
            update_mean(&mut self.cached_ms, duration_ms);
        } else {
            update_mean(&mut self.store_ms, duration_ms);
            self.window.record_load(duration_ms);
        }
        let Some(depth) = depth else {
            return;
        };
        let cache_size = self.cache_size.unwrap_or(depth);
        self.cache_size = Some(match cached {
            true => cache_size.max(depth + 1),
            // A single slow load may have another cause, so the size moves only half of the way.
            false if depth < cache_size => depth + (cache_size - depth) / 2,
            false => cache_size,
        });
    }

    /// Window of the loads from the store.
    pub(super) fn window(&self) -> &LoadWindow {
        &self.window
    }

    /// Window of the loads from the store, to be changed.
    pub(super) fn window_mut(&mut self) -> &mut LoadWindow {
        &mut self.window
    }

    /// Uses the traits of the engine's peers for what has not been learned here.
    pub(super) fn set_peer_traits(&mut self, peers: &EngineTraits) {
        let duration_ms = |ms: u64| (ms > 0).then(|| Millis(ms).as_secs() * 1_000.0);
        self.store_ms = self.store_ms.or(duration_ms(peers.store_load_ms));
        self.cached_ms = self.cached_ms.or(duration_ms(peers.cached_load_ms));
        let cache_size = (peers.cache_size > 0).then_some(peers.cache_size as usize);
        self.cache_size = self.cache_size.or(cache_size);
    }

    /// Expected load time from the weight store; 0 before the first load.
    pub(super) fn store_load_time(&self) -> Millis {
        to_millis(self.store_ms)
    }

    /// Expected load time from host memory; 0 before the first load.
    pub(super) fn cached_load_time(&self) -> Millis {
        to_millis(self.cached_ms)
    }

    /// Number of adapters that the host caches in addition to the loaded ones; `None` before an adapter was
    /// loaded a second time.
    pub(super) fn cache_size(&self) -> Option<usize> {
        self.cache_size
    }
}

fn update_mean(mean: &mut Option<f64>, sample: f64) {
    let old = mean.unwrap_or(sample);
    *mean = Some(old + NEWEST_WEIGHT * (sample - old));
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a span far below 2^52 ms"
)]
fn to_millis(ms: Option<f64>) -> Millis {
    Millis(ms.unwrap_or_default() as u64)
}
