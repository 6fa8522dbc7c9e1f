//! Streamed responses. The reply to the caller starts with the first checked bytes; an interrupted
//! stream is resumed at another upstream.
//!
//! `open` makes attempts until the first bytes of a response arrive, `event_reader` reads and
//! checks the events of one attempt, `relay` is the body that the caller's connection polls,
//! `resume` continues an interrupted stream at another upstream, and `splice` rewrites the events
//! of a resumed response to match those already sent.

mod event_reader;
mod open;
mod relay;
mod resume;
mod splice;

pub(crate) use open::{StreamStart, open_stream};
