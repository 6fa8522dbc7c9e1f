//! Model engines: load and unload orders, status queries, and chat calls.

mod confirm;
mod metrics;
mod order;
mod response;
mod vllm;

use std::time::Duration;

use bytes::Bytes;
use pumicecleat_types::RequestId;

use crate::{CallError, Local};
pub use confirm::{ConfirmedLoad, load_and_confirm};
pub use order::{Order, OrderError};
pub use response::{ChatResponse, read_body};
pub use vllm::VllmEngine;

/// Load of an engine by its metrics, which lag slightly behind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineMetrics {
    /// Number of running requests.
    pub requests: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of adapter slots, if the engine reports it.
    pub slots: Option<u32>,
    /// Engine names of the LoRA adapters of running and waiting requests.
    pub loras: Vec<String>,
}

/// One attempt of a chat request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Id of the request.
    pub request: RequestId,
    /// Attempt number, starting at 1.
    pub attempt: u32,
    /// Body in the OpenAI format.
    pub body: Bytes,
    /// Whether to stream the response.
    pub stream: bool,
}

/// A model engine.
pub trait Engine {
    /// Address of the engine.
    fn peer(&self) -> &str;

    /// Orders the engine to load a LoRA adapter and waits up to `timeout` for the response. A
    /// success response doesn't prove that the adapter is loaded: [`load_and_confirm`] also queries
    /// the resident adapters.
    ///
    /// # Errors
    /// [`OrderError`], which tells whether the order may have been carried out.
    fn load<'a>(&'a self, order: Order<'a>, timeout: Duration)
    -> Local<'a, Result<(), OrderError>>;

    /// Orders the engine to unload a LoRA adapter. Succeeds if the adapter is not loaded.
    ///
    /// # Errors
    /// [`OrderError`], which tells whether the order may have been carried out.
    fn unload<'a>(
        &'a self,
        order: Order<'a>,
        timeout: Duration,
    ) -> Local<'a, Result<(), OrderError>>;

    /// Engine names of the resident LoRA adapters, without base models.
    ///
    /// # Errors
    /// [`CallError`] if there is no usable response.
    fn resident(&self) -> Local<'_, Result<Vec<String>, CallError>>;

    /// Load of the engine, from its metrics page.
    ///
    /// # Errors
    /// [`CallError`] if there is no usable response.
    fn metrics(&self) -> Local<'_, Result<EngineMetrics, CallError>>;

    /// Checks that the engine is ready.
    ///
    /// # Errors
    /// [`CallError`] if it is not.
    fn health(&self) -> Local<'_, Result<(), CallError>>;

    /// Sends a chat call and returns the response once its head has arrived, with any status. The
    /// head must arrive within `timeout`.
    ///
    /// # Errors
    /// [`CallError`] if there is no response, or it belongs to another call.
    fn chat(
        &self,
        call: ChatCall,
        timeout: Duration,
    ) -> Local<'_, Result<Box<dyn ChatResponse>, CallError>>;
}
