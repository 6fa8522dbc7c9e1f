//! Tests of the platform clients, in one binary so that they share the in-memory log.

mod appender;
mod common;
mod follower;
mod http;
