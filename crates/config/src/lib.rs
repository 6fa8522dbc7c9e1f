//! Declarative configuration: parse, check, compare, and the fold over the log that decides what
//! is in force.

pub mod model;
