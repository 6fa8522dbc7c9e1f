//! The stand-ins over HTTP, each on the test's own loop.

mod bench;
mod engine;
mod engine_faults;
mod engine_orders;
mod log;
mod program;
mod service;
mod store;
mod vms;
