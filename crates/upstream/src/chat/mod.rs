//! Callers' chat bodies: checked, kept as they are, and rendered for an engine.

mod body;
mod conversation;
mod depth;
mod fault;
mod fields;
mod limits;
mod message;
mod render;
mod resume;

pub use body::ChatBody;
pub use conversation::Conversation;
pub use fault::{ChatBodyError, FieldIssue};
pub use limits::ChatLimits;
pub use resume::ResumeError;
