//! How fast an engine reads prompts, measured against what its maker's sheet says.
//!
//! Measured is what was read in a spell without idle time. News of a first event comes late by the
//! time of an answer's first step and of its way, so that the start of a spell is not counted and
//! small slowdowns are not believed: the point is to find engines that are several times slower.

use pumicecleat_types::Millis;

/// Start of a spell that is not counted: a step of the engine, and the way of the news, which go
/// out every 50 ms.
const LEAD: Millis = Millis(100);

/// Counted time after which a measurement is taken: three usual prompts.
const SPELL: Millis = Millis(400);

/// Part of the sheet's rate above which the engine counts as sound.
const SOUND: f64 = 0.55;

/// Least part that is believed: an engine that stands still is tried again.
const LEAST: f64 = 0.05;

/// Weight of a measurement.
const NEW: f64 = 0.5;

/// Half-life of a slowdown while nothing is read, s: an engine that recovers is found soon, one
/// that does not costs a request each few seconds.
const RECOVERY_S: f64 = 2.0;

/// Part of its sheet's rate at which an engine reads.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    part: f64,
    /// Last look, and whether prompts waited to be read since.
    seen: Millis,
    reading: bool,
    /// Start of the spell, or of the last measurement in it.
    since: Millis,
    /// Tokens read since then.
    done: u64,
}

impl Pace {
    pub(super) fn new() -> Self {
        Self {
            part: 1.0,
            seen: Millis(0),
            reading: false,
            since: Millis(0),
            done: 0,
        }
    }

    /// Part of the sheet's rate, 1 for a sound engine.
    pub(super) fn part(&self) -> f64 {
        if self.part > SOUND { 1.0 } else { self.part }
    }

    /// `tokens` of a prompt were read.
    pub(super) fn read(&mut self, tokens: u32) {
        self.done += u64::from(tokens);
    }

    /// Looks at whether prompts wait to be read; `rate` is the sheet's, tokens a second.
    pub(super) fn look(&mut self, reading: bool, rate: u64, now: Millis) {
        if !self.reading {
            let idle = now.since(self.seen).as_secs();
            let back = 1.0 - (-idle / RECOVERY_S).exp2();
            self.part += (1.0 - self.part) * back;
        }
        if reading && !self.reading {
            self.since = now + LEAD;
            self.done = 0;
        }
        self.measure(rate, now);
        self.reading = reading;
        self.seen = now;
    }

    #[allow(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
    fn measure(&mut self, rate: u64, now: Millis) {
        let span = now.since(self.since);
        if !self.reading || span < SPELL {
            return;
        }
        let due = rate.max(1) as f64 * span.as_secs();
        let sample = (self.done as f64 / due).clamp(LEAST, 1.0);
        self.part += NEW * (sample - self.part);
        self.since = now;
        self.done = 0;
    }
}
