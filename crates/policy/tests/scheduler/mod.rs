//! Helpers for the scheduler tests.

pub mod engine;
