//! Integration tests of an entry with scripted fake sides and a stand-in of the log.

mod affinity;
mod caller;
mod config;
mod faults;
mod fixture;
mod input;
mod keys;
mod listed;
mod partial_log;
mod peers;
mod resume;
mod script;
mod side;
mod stop;
mod truth;
