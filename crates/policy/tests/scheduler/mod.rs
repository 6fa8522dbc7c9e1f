//! Helpers of the scheduler's tests.

pub mod engine;
