//! Plain service that counts what took effect and never removes duplicates by itself.

mod effects;
mod faults;
mod handler;

pub use effects::ServiceEffect;
pub use faults::ServiceFaults;
pub use handler::{Service, ServiceOptions};
