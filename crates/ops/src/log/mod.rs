//! Numbered log events with fields, in text or JSON, to stderr.
//!
//! The loop's thread renders an event only if its level is on, and hands the line to one more
//! thread, which holds nothing of the program and only writes. Where stderr is slower than the
//! events, lines are dropped and counted; the loop never waits for them.

mod event;
pub mod events;
mod field;
mod format;
mod level;
mod logger;

pub use event::Event;
pub use field::{Field, FieldValue, field};
pub use format::LogFormat;
pub use level::Level;
pub use logger::{Log, LogOptions};
