//! Shared parts of the HTTP clients: peers of a service, JSON responses and errors.

mod error;
mod name;
mod peers;
mod service_client;

pub use error::RequestError;
pub(crate) use name::{check_name, check_path};
pub use peers::Peers;
pub(crate) use service_client::ServiceClient;
