//! Prefill rate of an engine, learned only from the first events of its streams.
//!
//! A first event shows that the prefill of a prompt is complete. While other prompts are queued, the time
//! between two first events is the prefill time of the tokens between them. After an idle period it also
//! contains the overhead of granting the turn, sending the request and reporting the first event. Both are
//! fitted together by weighted least squares over decaying samples. The weights make the rate that of the
//! sums of tokens and times: an engine prefills a long prompt in chunks together with short ones, and only
//! sums tell how long such a mix took.
//!
//! Nothing is assumed about an engine before its first event. The rate of its peers counts as much as a tenth
//! of a second of its own prefill.

use pumicecleat_types::Millis;

/// Prefill time after which the weight of a sample is halved, ms. Long compared with one prompt, short
/// compared with the slowdowns that have to be followed.
const SAMPLE_HALF_LIFE_MS: f64 = 1_500.0;

/// Half-life of the recent samples, which show whether the engine's rate has changed, ms, and the least time
/// that they have to cover, ms.
const RECENT_HALF_LIFE_MS: f64 = 400.0;
const MIN_RECENT_MS: f64 = 350.0;

/// Ratio between the recent rate and the overall rate above which only the recent samples are kept. Sums of
/// tokens forget a fast engine slowly: an engine that became ten times slower was detected after 9 s of
/// prefill, and within 2 s with this rule.
const CHANGE_RATIO: f64 = 1.7;

/// Idle time after which the weight of all samples is halved, ms. An engine that became slow receives few
/// prompts and would never be found to have recovered; as its estimate returns to the rate of its peers, it
/// is tried again every few seconds.
const IDLE_HALF_LIFE_MS: f64 = 2_000.0;

/// Prefill time of the engine itself that the rate of its peers counts for, ms.
const PEER_WEIGHT_MS: f64 = 100.0;

/// Overhead of a turn, a request and the report of its first event before it is measured, ms: half of the
/// 50 ms between two reports of first events, plus network latency. With 60 ms and four times the weight,
/// the rate of engines that prefill for a fifth of the time was estimated 25 to 55 in 100 too high; with
/// these values, 13 in 100 at most.
const DEFAULT_OVERHEAD_MS: f64 = 40.0;

/// Weight of the default overhead: that of one sample of 2,000 tokens.
const DEFAULT_OVERHEAD_WEIGHT: f64 = 0.000_5;

/// Least fraction of the measured time that counts as prefill. Without it, a first sample that took no longer
/// than the overhead would imply an engine of unlimited rate.
const MIN_PREFILL_RATIO: f64 = 0.3;

/// Ratio of elapsed to expected time of the outstanding prompts above which an engine counts as slower than
/// measured, although no first event has been reported.
const OVERDUE_RATIO: f64 = 2.0;

/// Least and greatest time of a token, ms: 10,000,000 and 50 tokens per second.
const MIN_TOKEN_MS: f64 = 0.000_1;
const MAX_TOKEN_MS: f64 = 20.0;

/// Decaying sums over the samples. A sample has its tokens, its time, and whether the engine was idle before.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    tokens: f64,
    /// Number of samples after an idle period.
    after_idle: f64,
    /// Sum of 1 / tokens over the samples after an idle period.
    after_idle_weight: f64,
    time_ms: f64,
    /// Sum of time / tokens over the samples after an idle period.
    after_idle_time: f64,
}

impl Sums {
    fn add(&mut self, tokens: f64, after_idle: bool, time_ms: f64) {
        self.tokens += tokens;
        self.time_ms += time_ms;
        if after_idle {
            self.after_idle += 1.0;
            self.after_idle_weight += 1.0 / tokens;
            self.after_idle_time += time_ms / tokens;
        }
    }

    fn scale(&mut self, factor: f64) {
        self.tokens *= factor;
        self.after_idle *= factor;
        self.after_idle_weight *= factor;
        self.time_ms *= factor;
        self.after_idle_time *= factor;
    }
}

/// First events that were observed at the same time; they form one sample.
#[derive(Clone, Copy, Debug)]
struct EventGroup {
    at: Millis,
    tokens: u64,
    /// When the earliest of their requests was granted its turn.
    granted: Millis,
}

/// Prompts that were granted a turn and have no first event yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outstanding {
    /// Prompt tokens.
    pub(super) tokens: u64,
    /// When the earliest of them was granted its turn.
    pub(super) since: Millis,
}

/// Estimate of the prefill rate of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillRate {
    sums: Sums,
    /// Sums with a shorter half-life.
    recent: Sums,
    /// Time of a token at the engine's peers, ms.
    peer_token_ms: Option<f64>,
    group: Option<EventGroup>,
    /// Time of the last first event that was added to the sums.
    last_event: Millis,
    /// Time of the last update, if no prompt was outstanding then.
    last_idle: Option<Millis>,
    /// Time of a token implied by overdue prompts, ms.
    overdue_token_ms: Option<f64>,
}

impl PrefillRate {
    /// Prompt tokens per second; `None` while nothing is known.
    pub(super) fn tokens_per_second(&self) -> Option<f64> {
        let token_ms = self.fit().map(|(token_ms, _)| token_ms);
        let token_ms = match (token_ms, self.overdue_token_ms) {
            (Some(token_ms), Some(overdue)) => Some(token_ms.max(overdue)),
            (token_ms, overdue) => token_ms.or(overdue),
        };
        token_ms.map(|t| 1_000.0 / t)
    }

    /// Sets the prefill rate of the engine's peers, in tokens per second; 0 is ignored.
    pub(super) fn set_peer_rate(&mut self, rate: u64) {
        if rate > 0 {
            self.peer_token_ms = Some(1_000.0 / approximate(rate));
        }
    }

    /// Records the first event of a prompt whose turn was granted at `granted`.
    pub(super) fn record_first_event(&mut self, tokens: u32, granted: Millis, now: Millis) {
        self.close_group(now);
        let group = self.group.get_or_insert(EventGroup {
            at: now,
            tokens: 0,
            granted,
        });
        group.tokens += u64::from(tokens);
        group.granted = group.granted.min(granted);
    }

    /// Updates the estimate for idle time and for overdue prompts.
    pub(super) fn update(&mut self, outstanding: Option<Outstanding>, now: Millis) {
        self.close_group(now);
        if let Some(since) = self.last_idle {
            let idle_ms = now.since(since).as_secs() * 1_000.0;
            self.sums.scale((-idle_ms / IDLE_HALF_LIFE_MS).exp2());
        }
        self.last_idle = outstanding.is_none().then_some(now);
        self.overdue_token_ms = outstanding.and_then(|o| self.overdue(o, now));
    }

    /// Resets the estimate for another engine instance. The old rate is kept as that of a peer if no rate of
    /// peers is known, as the new instance is probably as fast.
    pub(super) fn reset(&mut self) {
        let token_ms = self.fit().map(|(token_ms, _)| token_ms);
        *self = Self {
            peer_token_ms: self.peer_token_ms.or(token_ms),
            ..Self::default()
        };
    }

    /// Adds the group of first events to the sums if it was observed before `now`.
    fn close_group(&mut self, now: Millis) {
        let Some(group) = self.group.take_if(|g| g.at < now) else {
            return;
        };
        let last_event = std::mem::replace(&mut self.last_event, group.at);
        // If the turn was granted after the last event, or less than half the overhead before it, most of the
        // overhead is part of the measured time.
        let after_idle = group.granted + Millis(self.overhead().0 / 2) > last_event;
        let tokens = approximate(group.tokens.max(1));
        let from = if after_idle {
            group.granted
        } else {
            last_event
        };
        let time_ms = group.at.since(from).as_secs() * 1_000.0;
        self.sums.scale((-time_ms / SAMPLE_HALF_LIFE_MS).exp2());
        self.sums.add(tokens, after_idle, time_ms);
        self.recent.scale((-time_ms / RECENT_HALF_LIFE_MS).exp2());
        self.recent.add(tokens, after_idle, time_ms);
        self.follow_change();
    }

    /// Drops older samples if the engine has become much slower or faster.
    fn follow_change(&mut self) {
        let (overall, recent) = (fit(self.sums).0, fit(self.recent).0);
        let changed = recent > overall * CHANGE_RATIO || recent * CHANGE_RATIO < overall;
        if changed && self.recent.time_ms > MIN_RECENT_MS {
            self.sums = self.recent;
        }
    }

    /// Time of a token and overhead, ms, with the rate of the peers as one of the samples.
    fn fit(&self) -> Option<(f64, f64)> {
        let mut sums = self.sums;
        if let Some(token_ms) = self.peer_token_ms {
            sums.tokens += PEER_WEIGHT_MS / token_ms;
            sums.time_ms += PEER_WEIGHT_MS;
        }
        (sums.tokens > 0.0).then(|| fit(sums))
    }

    /// Overhead of a turn, a request and the report of its first event.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a span far below 2^52 ms"
    )]
    pub(super) fn overhead(&self) -> Millis {
        Millis(
            self.fit()
                .map_or(DEFAULT_OVERHEAD_MS, |(_, overhead_ms)| overhead_ms) as u64,
        )
    }

    /// Time of a token implied by the outstanding prompts, ms, if their first events are overdue.
    fn overdue(&self, outstanding: Outstanding, now: Millis) -> Option<f64> {
        let (token_ms, overhead_ms) = self.fit()?;
        let tokens = approximate(outstanding.tokens.max(1));
        let since = outstanding.since.max(self.last_event);
        let time_ms = now.since(since).as_secs() * 1_000.0 - overhead_ms;
        let overdue = time_ms > OVERDUE_RATIO * (token_ms * tokens + DEFAULT_OVERHEAD_MS);
        overdue.then_some((time_ms / tokens).min(MAX_TOKEN_MS))
    }
}

/// Time of a token and overhead, ms, by weighted least squares; `sums` must contain tokens.
fn fit(mut sums: Sums) -> (f64, f64) {
    sums.after_idle_weight += DEFAULT_OVERHEAD_WEIGHT;
    sums.after_idle_time += DEFAULT_OVERHEAD_WEIGHT * DEFAULT_OVERHEAD_MS;
    let det = sums.tokens * sums.after_idle_weight - sums.after_idle * sums.after_idle;
    let overhead_ms = (sums.tokens * sums.after_idle_time - sums.after_idle * sums.time_ms) / det;
    let overhead_ms = overhead_ms.max(0.0);
    let prefill_ms =
        (sums.time_ms - sums.after_idle * overhead_ms).max(sums.time_ms * MIN_PREFILL_RATIO);
    let token_ms = prefill_ms / sums.tokens;
    (token_ms.clamp(MIN_TOKEN_MS, MAX_TOKEN_MS), overhead_ms)
}

#[allow(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn approximate(n: u64) -> f64 {
    n as f64
}
