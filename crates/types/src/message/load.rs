//! The order of loads from one weight store, kept by an entry as soft state.

use serde::{Deserialize, Serialize, Serializer};

use crate::VmId;

/// Side to entry: asks for, keeps or gives back a turn at the store. Written as a row, as a report is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
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

/// Entry to side: the store is free, and the side is to bid before the time it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BidRequest {
    /// Entry's time since its start, milliseconds.
    pub at_ms: u64,
}

/// Side to entry, on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BidRequestReply {
    /// A bid is on its way.
    pub bids: bool,
}

impl Serialize for LoadBid {
    /// Writes the fields in their order.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (
            &self.vm,
            &self.lora,
            self.waiting,
            self.left_ms,
            self.waited_ms,
        );
        row.serialize(serializer)
    }
}
