//! Callers' chat bodies: checked, kept as they are, and rendered for an engine.

mod body;
mod depth;
mod fault;
mod fields;
mod limits;
mod message;
mod render;
mod resume;
mod thread;

pub use body::ChatBody;
pub use fault::{BodyFault, FieldIssue};
pub use limits::ChatLimits;
pub use resume::ResumeBarrier;
pub use thread::ChatThread;
