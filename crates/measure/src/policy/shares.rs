//! Share error: what a flooding caller takes from those under their claim.
//!
//! The same trace runs with and without the flood. The error of a caller is the part of its tokens
//! in time that it loses to the flood, over the requests of the flood's time; the worst caller
//! counts.

use pumicecleat_policy::CallerIx;
use serde::Serialize;

use super::replay::Tally;
use super::shape::Shape;
use super::trace::{FLOODER, Trace};

/// Errors of the callers that do not flood.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct ShareError {
    /// Of the worst of them.
    pub(super) worst: f64,
    /// Of all of them together.
    pub(super) all: f64,
}

/// Share error of a run with its flood against the run without.
pub(super) fn error(shape: &Shape, flood: (&Trace, &Tally), calm: (&Trace, &Tally)) -> ShareError {
    let under = (0..shape.callers).map(CallerIx).filter(|c| *c != FLOODER);
    let pairs: Vec<_> = under
        .map(|c| (in_time(flood, c), in_time(calm, c)))
        .collect();
    let errors = pairs.iter().map(|(with, without)| loss(*with, *without));
    let sum = |part: fn(&(u64, u64)) -> u64| pairs.iter().map(part).sum::<u64>();
    ShareError {
        worst: errors.fold(0.0, f64::max),
        all: loss(sum(|p| p.0), sum(|p| p.1)),
    }
}

/// Tokens in time of a caller's requests in the middle third.
fn in_time((trace, tally): (&Trace, &Tally), caller: CallerIx) -> u64 {
    let (begin, end) = trace.third;
    let asks = trace.asks.iter().zip(&tally.met);
    asks.filter(|(a, met)| a.caller == caller && **met && a.at >= begin && a.at < end)
        .map(|(a, _)| u64::from(a.tokens))
        .sum()
}

#[allow(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn loss(with: u64, without: u64) -> f64 {
    if without == 0 {
        return 0.0;
    }
    (1.0 - with as f64 / without as f64).max(0.0)
}
