//! Numbered log events with fields, in text or JSON, to stderr.
//!
//! The event loop renders an event only if its level is enabled, and passes the line to a writer
//! thread that shares no other state with the program. If the output is too slow, lines are dropped
//! and counted; the event loop never waits for it.

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
