//! Append-only log service: streams of records, long poll, retention, an append limit.

mod faults;
mod handler;
mod message;
mod rate;
mod stream;

pub use faults::LogFaults;
pub use handler::{Log, LogOptions};
