//! Model engine in the vLLM form: continuous batching, LoRA slots, text that can be computed.
//!
//! Each step gives every running request one token. A token follows from the LoRA's name, the
//! user's messages and its place, so that an answer tells by itself whose it is.

mod adapters;
mod answer;
mod batch;
mod chat;
mod effects;
mod faults;
mod fencing;
mod handler;
mod metrics;
mod model;
mod options;
mod order;
mod piece;
mod prefix;
mod start;
mod state;
mod stream;
mod text;

pub use chat::ChatMessage;
pub use effects::{EngineCounters, EngineEffects, OrderEffect, OrderKind, RunEffect, RunState};
pub use faults::EngineFaults;
pub use options::EngineOptions;
pub use start::Engine;
pub use text::expected_tokens;
