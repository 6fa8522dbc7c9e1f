//! Validation of engine responses: complete, well formed, and from the requested model.

mod chunk;
mod completion;
mod error;
mod expected;
mod progress;
mod raw;
mod stream;

pub use chunk::{Chunk, PromptDetails, StreamEvent, Usage};
pub use completion::{CompletionSummary, check_completion};
pub use error::{ResponseError, ResponseErrorKind};
pub use expected::ExpectedResponse;
pub use progress::Progress;
pub use stream::StreamCheck;
