//! An entry against sides that play frames by script, and a stand-in of the log.

mod caller;
mod config;
mod faults;
mod input;
mod keys;
mod listed;
mod meeting;
mod part;
mod peers;
mod resume;
mod script;
mod side;
mod stop;
mod truth;
mod world;
