//! Model of what the decisions meet: engines, the weight store, and virtual time.

mod cache;
mod clock;
mod engine;
mod store;

pub(super) use cache::PrefixCache;
pub(super) use clock::Clock;
pub(super) use engine::Engine;
pub(super) use store::Store;
