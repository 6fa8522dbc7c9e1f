//! The parsers, each with what must hold for any input.

mod chat;
mod config;
mod frames;
mod heads;
mod key;
mod ledger;
mod log;
mod message;
mod metrics;
mod page;
mod platform;
mod stream;

use snafu::Snafu;

/// An invariant that an input broke.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{what}"))]
pub struct Broken {
    /// What did not hold.
    pub what: String,
}

/// A parser that meets outside bytes.
pub trait Target {
    /// Name for reports.
    fn name(&self) -> &'static str;

    /// Share of the inputs, against the other targets'.
    fn weight(&self) -> u64 {
        4
    }

    /// Valid inputs.
    fn samples(&self) -> Vec<Vec<u8>>;

    /// Whether the parser took anything of `input` as valid.
    ///
    /// # Errors
    /// [`Broken`] if an invariant does not hold.
    fn check(&self, input: &[u8]) -> Result<bool, Broken>;
}

/// All targets.
#[must_use]
pub fn all() -> Vec<Box<dyn Target>> {
    vec![
        Box::new(config::ConfigFile),
        Box::new(chat::ChatText),
        Box::new(stream::AnswerStream),
        Box::new(stream::WholeAnswer),
        Box::new(log::ConfigRecord::new()),
        Box::new(log::PeerSnapshot::new()),
        Box::new(ledger::IntentBatch),
        Box::new(message::PeerMessage),
        Box::new(frames::AnswerFrames),
        Box::new(key::KeyText),
        Box::new(metrics::MetricsPage::start()),
        Box::new(platform::PlatformAnswer::start()),
        Box::new(heads::RequestBytes::start()),
    ]
}

/// Requires that `holds`.
fn require(holds: bool, what: &str) -> Result<(), Broken> {
    if holds {
        return Ok(());
    }
    let what = what.to_owned();
    BrokenSnafu { what }.fail()
}

/// Places to cut `input` at, which follow from its bytes alone.
fn cuts(input: &[u8]) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    let mut rest = input;
    let mut turn = input.len();
    while !rest.is_empty() {
        turn = turn.wrapping_mul(31).wrapping_add(usize::from(rest[0]));
        let length = (turn % 23 + 1).min(rest.len());
        let (piece, after) = rest.split_at(length);
        pieces.push(piece);
        rest = after;
    }
    pieces
}
