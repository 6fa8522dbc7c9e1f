//! The order of loads from one weight store, kept by an entry as soft state.

use serde::{Deserialize, Serialize};

use crate::VmId;

/// Side to entry: asks for, keeps or gives back a turn at the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBid {
    /// VM of the side.
    pub vm: VmId,
    /// Engine name wanted, or `None` to give the turn back.
    pub lora: Option<String>,
    /// Requests waiting for it at this side.
    pub waiting: u32,
    /// Least time left to a deadline among them, milliseconds.
    pub left_ms: u64,
    /// Longest wait so far among them, milliseconds.
    pub waited_ms: u64,
}

/// Entry to side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadTurn {
    /// Load now; the turn lapses after this many milliseconds.
    Go {
        /// Milliseconds.
        ttl_ms: u64,
    },
    /// Others go first; bid again after this many milliseconds.
    Wait {
        /// Milliseconds.
        again_ms: u64,
        /// Milliseconds until its turn is expected.
        turn_ms: u64,
        /// Milliseconds in which every side that bids now has had a turn.
        round_ms: u64,
    },
}
