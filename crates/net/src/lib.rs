//! HTTP over monoio with limits, server-sent events, peer messages and the timer service.
//!
//! One loop on one thread: [`run`] starts it on the epoll driver, [`Timer`] wakes its tasks,
//! [`Server`] answers and [`Client`] asks. Bodies are pulled by their reader, so dropping one
//! cancels what feeds it.
//!
//! ```
//! use pumicecleat_net::{Timer, run};
//! use std::time::Duration;
//!
//! let waited = run(async {
//!     let timer = Timer::start();
//!     let from = timer.now();
//!     timer.sleep(Duration::from_millis(5)).await;
//!     timer.now().since(from)
//! });
//! assert!(waited.unwrap().0 >= 5);
//! ```

mod answer;
mod body;
mod client;
mod error;
mod event_end;
mod fair;
mod frame;
mod framing;
mod full;
mod handler;
mod idle;
mod linger;
mod listener;
mod local;
mod measured;
mod memory;
mod peer;
mod pending;
mod protocol;
mod reply;
mod runtime;
mod server;
mod sse;
mod stall;
mod tally;
mod time_limit;
mod timer;
mod turns;
mod watched;

pub use body::{Body, BodyError, ByteStream, RequestBody, read_all};
pub use client::{Client, ClientOptions, Response};
pub use error::{NetError, Sent};
pub use frame::{FrameError, FrameReader, FrameScanner, frame_bytes};
pub use framing::Framing;
pub use handler::{Handler, Incoming, Reply};
pub use listener::{bind, bind_exclusive};
pub use local::Local;
pub use memory::{Buffer, Cause, Lease, MemoryBudget, MemoryLimits, MemoryReading, NoRoom};
pub use peer::{SHORT_ANSWER, post, post_ext};
pub use protocol::Protocol;
pub use reply::{json_reply, peer_reply, plain_reply, retry_after};
pub use runtime::{RuntimeError, run};
pub use server::{Server, ServerOptions};
pub use sse::{SseEvent, SseScanner, TooLong};
pub use stall::Stall;
pub use tally::{Tally, TallyGuard};
pub use timer::{Elapsed, Sleep, Timer};
pub use turns::{Place, Turns};
