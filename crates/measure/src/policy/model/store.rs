//! The weight store: one load at full speed, several each at less than their part.

use std::collections::BTreeMap;

use pumicecleat_policy::UpstreamIx;
use pumicecleat_types::Millis;

use crate::policy::shape::{LOAD, TOGETHER};

/// Weight store with the loads in progress.
#[derive(Debug)]
pub(crate) struct Store {
    /// Work left of each load, in milliseconds at full speed.
    left: BTreeMap<UpstreamIx, f64>,
    at: Millis,
    /// 1 at full speed, 0 if down.
    speed: f64,
    /// Number of the latest change, to drop outdated events.
    pub(crate) change: u64,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            left: BTreeMap::new(),
            at: Millis(0),
            speed: 1.0,
            change: 0,
        }
    }

    pub(crate) fn is_down(&self) -> bool {
        self.speed <= 0.0
    }

    pub(crate) fn set_speed(&mut self, speed: f64, now: Millis) {
        self.advance(now);
        self.speed = speed;
    }

    pub(crate) fn start(&mut self, up: UpstreamIx, now: Millis) {
        self.advance(now);
        self.left.insert(up, LOAD.as_secs() * 1_000.0);
    }

    pub(crate) fn abort(&mut self, up: UpstreamIx, now: Millis) {
        self.advance(now);
        self.left.remove(&up);
    }

    /// Takes the loads that have ended.
    pub(crate) fn ended(&mut self, now: Millis) -> Vec<UpstreamIx> {
        self.advance(now);
        let done = |left: &f64| *left <= 1e-6;
        let ended: Vec<_> = self
            .left
            .iter()
            .filter(|(_, left)| done(left))
            .map(|(up, _)| *up)
            .collect();
        self.left.retain(|_, left| !done(left));
        ended
    }

    /// When the next load ends, if nothing changes.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "spans are short and not negative"
    )]
    pub(crate) fn next_end(&self) -> Option<Millis> {
        let least = self.left.values().copied().reduce(f64::min)?;
        let rate = self.rate();
        (rate > 0.0).then(|| self.at + Millis((least / rate).ceil() as u64))
    }

    fn advance(&mut self, now: Millis) {
        let span = now.since(self.at).as_secs() * 1_000.0;
        let done = span * self.rate();
        for left in self.left.values_mut() {
            *left -= done;
        }
        self.at = now;
        self.change += 1;
    }

    /// Speed of each load.
    #[allow(clippy::cast_precision_loss, reason = "a few loads")]
    fn rate(&self) -> f64 {
        match self.left.len() {
            0 | 1 => self.speed,
            n => self.speed * TOGETHER / n as f64,
        }
    }
}
