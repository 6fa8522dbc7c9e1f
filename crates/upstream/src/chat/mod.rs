//! Chat request bodies of callers: validation, and rendering for an engine with unknown fields kept.

mod body;
mod conversation;
mod depth;
mod error;
mod fields;
mod limits;
mod message;
mod render;
mod resume;

pub use body::ChatBody;
pub use conversation::Conversation;
pub use error::{ChatBodyError, FieldIssue};
pub use limits::ChatLimits;
pub use resume::ResumeError;
