//! Tests of the platform's clients; one program, so that they share the log in memory.

mod appender;
mod common;
mod follower;
mod http;
