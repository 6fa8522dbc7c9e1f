//! Clients of upstreams: model engines with the HTTP API of vLLM, and plain HTTP services.
//!
//! Other crates use [`Engine`] and [`Service`] as trait objects; [`VllmEngine`] and [`HttpService`]
//! implement them over HTTP as described in `docs/PLATFORM.md`. Errors tell whether the upstream may
//! have processed the request. [`ChatBody`] validates the requests of callers and renders them for
//! an engine; [`StreamCheck`] and [`check_completion`] validate the responses of engines.
//!
//! ```
//! use std::time::Duration;
//! use pumicecleat_net::{Client, ClientOptions, Timer, run};
//! use pumicecleat_upstream::{Engine, Order, OrderError, VllmEngine};
//!
//! let result = run(async {
//!     let client = Client::new_ext(ClientOptions::default(), &Timer::start());
//!     let engine = VllmEngine::new(&client, "127.0.0.1:1", Duration::from_secs(2));
//!     let order = Order { lora: "sowing@v3", path: "sowing/v3", fence: 7 };
//!     engine.load(order, Duration::from_secs(30)).await
//! });
//! assert!(matches!(result.unwrap(), Err(OrderError::NotSent { .. })));
//! ```

mod call;
mod chat;
mod check;
mod engine;
mod service;

pub use call::{CallError, RetryAfter};
pub use chat::{ChatBody, ChatBodyError, ChatLimits, Conversation, FieldIssue, ResumeError};
pub use check::{
    Chunk, CompletionSummary, ExpectedResponse, Progress, PromptDetails, ResponseError,
    ResponseErrorKind, StreamCheck, StreamEvent, Usage, check_completion,
};
pub use engine::{
    ChatCall, ChatResponse, ConfirmedLoad, Engine, EngineMetrics, Order, OrderError, VllmEngine,
    load_and_confirm, read_body,
};
pub use pumicecleat_net::Local;
pub use service::{HttpService, Service, ServiceCall, ServiceResponse};
