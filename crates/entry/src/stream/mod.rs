//! Streamed answers: the first checked bytes commit, a break is mended at another upstream.
//!
//! `open` tries until the first bytes of an answer are there, `feed` reads and checks one attempt's
//! events, `relay` is the body that the caller pulls, `resume` goes on at another upstream, and
//! `splice` fits a second answer's events to the first's.

mod feed;
mod open;
mod relay;
mod resume;
mod splice;

pub(crate) use open::{StreamStart, open_stream};
