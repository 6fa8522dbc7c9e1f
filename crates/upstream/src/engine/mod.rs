//! Model engines: orders to load and unload, what they say of themselves, and chat calls.

mod answer;
mod confirm;
mod metrics;
mod order;
mod vllm;

use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::RequestId;

use crate::{CallError, Local};
pub use answer::{ChatResponse, read_body};
pub use confirm::{ConfirmedLoad, load_and_confirm};
pub use order::{Order, OrderError};
pub use vllm::VllmEngine;

/// What an engine says of its work, a moment late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineMetrics {
    /// Requests running.
    pub requests: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Adapter slots, if the engine tells.
    pub slots: Option<u32>,
    /// Engine names that running or waiting requests use.
    pub loras: Vec<String>,
}

/// One attempt of a chat request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Request.
    pub request: RequestId,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Body in the OpenAI form.
    pub body: Bytes,
    /// Answer token by token.
    pub stream: bool,
}

/// A model engine.
pub trait Engine {
    /// Its address.
    fn peer(&self) -> &str;

    /// Orders it to load a LoRA, and waits up to `span` for its word. An engine may lie:
    /// [`load_and_confirm`] asks it for what is resident.
    ///
    /// # Errors
    /// [`OrderError`], by what is known of the order.
    fn load<'a>(&'a self, order: Order<'a>, span: Duration) -> Local<'a, Result<(), OrderError>>;

    /// Orders it to unload a LoRA. One that was not loaded counts as unloaded.
    ///
    /// # Errors
    /// [`OrderError`], by what is known of the order.
    fn unload<'a>(&'a self, order: Order<'a>, span: Duration) -> Local<'a, Result<(), OrderError>>;

    /// Engine names resident, without base models.
    ///
    /// # Errors
    /// [`CallError`] if there is no usable answer.
    fn resident(&self) -> Local<'_, Result<Vec<String>, CallError>>;

    /// What it says of its work.
    ///
    /// # Errors
    /// [`CallError`] if there is no usable answer.
    fn metrics(&self) -> Local<'_, Result<EngineMetrics, CallError>>;

    /// Whether it is ready.
    ///
    /// # Errors
    /// [`CallError`] if it is not.
    fn health(&self) -> Local<'_, Result<(), CallError>>;

    /// Sends a chat call and gives the head of its answer, whatever its status, if it comes
    /// within `span`.
    ///
    /// # Errors
    /// [`CallError`] if there is none, or it is another call's.
    fn chat(
        &self,
        call: ChatCall,
        span: Duration,
    ) -> Local<'_, Result<Box<dyn ChatResponse>, CallError>>;
}
