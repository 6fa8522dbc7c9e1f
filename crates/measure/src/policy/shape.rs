//! Size and load of a deployment, as the model takes them.

use pumicecleat_policy::ObjectiveWeights;
use pumicecleat_types::Millis;

use super::prefix::PrefixMode;

/// Latency between a caller's entry and any side, one way; the brief's 1.5 ms, rounded up.
pub(super) const LATENCY: Millis = Millis(2);

/// Time of a load at full speed: two loads a second.
pub(super) const LOAD: Millis = Millis(500);

/// Time of an unload at an engine.
pub(super) const UNLOAD: Millis = Millis(5);

/// Time of an engine step, and of a slow one.
pub(super) const STEP: (Millis, Millis) = (Millis(10), Millis(20));

/// Prompt tokens that an engine reads in a millisecond.
pub(super) const PREFILL: u32 = 20;

/// Part of steps that are slow.
pub(super) const SLOW_STEPS: f64 = 0.1;

/// Speed of one of two loads that run at once: less than half.
pub(super) const TOGETHER: f64 = 0.8;

/// Span between reports of a side to each entry, and their lag.
pub(super) const REPORT: (Millis, Millis) = (Millis(500), Millis(200));

/// Size and load of a deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) name: &'static str,
    pub(super) centres: u32,
    pub(super) engines: u32,
    pub(super) entries: u32,
    pub(super) adapters: u32,
    /// Adapter slots of an engine.
    pub(super) slots: u32,
    /// Requests an engine batches at most.
    pub(super) batch: u32,
    /// Requests that wait at one side at most.
    pub(super) queue: u32,
    pub(super) callers: u32,
    /// Requests a second.
    pub(super) rate: f64,
    /// Tokens that an answer may have; it has a tenth to nine tenths of them.
    pub(super) limit: u32,
    /// Span in which a caller wants the whole answer.
    pub(super) span: Millis,
    pub(super) weights: ObjectiveWeights,
    /// Longest hold for a fuller batch, at full weight of batches.
    pub(super) hold: Millis,
    /// How prompts are treated; `None` if they are not modelled.
    pub(super) prefix: Option<PrefixMode>,
    /// Tokens that an engine's prefix cache holds.
    pub(super) cache: u32,
    /// Worth of the holder where a conversation meets, in place of the router's, tokens.
    pub(super) first: Option<u32>,
}
