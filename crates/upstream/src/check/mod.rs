//! Checks of engines' answers: that each is whole, well formed, and of the model asked for.

mod chunk;
mod expect;
mod fault;
mod progress;
mod raw;
mod stream;
mod whole;

pub use chunk::{Chunk, PromptDetails, StreamEvent, Usage};
pub use expect::ExpectedResponse;
pub use fault::{ResponseError, ResponseErrorKind};
pub use progress::Progress;
pub use stream::StreamCheck;
pub use whole::{CompletionSummary, check_completion};
