//! Decisions where reading prompts is the scarce work and adapters have few places.
//!
//! An engine reads some 20 prompt tokens in a millisecond, so that a usual prompt of 2,400 tokens
//! takes an eighth of a second of it, while its batch and its memory have room for dozens. Load is
//! therefore counted in prompt tokens that wait to be read, never in requests.
//!
//! [`Turns`] is the side's part: which adapters its engine holds, whose turn it is, who is refused.
//! [`EngineChoice`] is the entry's: which engine to ask. [`SlotChoice`] places plain requests, and
//! [`RepeatWindow`] bounds what is sent more than once.

mod demand;
mod engine;
mod pace;
mod places;
mod repeat;
mod slots;
mod turns;

pub use engine::{AdapterHold, EngineChoice, EngineView};
pub use places::{EngineOrder, OrderEnd};
pub use repeat::{RepeatOptions, RepeatWindow};
pub use slots::{SlotChoice, SlotView};
pub use turns::{EngineState, RunSeen, TurnAction, TurnId, TurnOptions, TurnRequest, Turns};
