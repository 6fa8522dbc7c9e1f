//! Scheduling of adapter loads from one weight store. The entry that schedules them keeps its state in
//! memory only and rebuilds it from the sides' bids.

use serde::{Deserialize, Serialize, Serializer};

use crate::VmId;

/// Request of a side to an entry for a turn to load from the store; also renews or releases the turn.
/// Encoded as a row, like [`Report`](crate::Report).
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LoadBid {
    /// VM of the side.
    pub vm: VmId,
    /// Engine name of the adapter to load, or `None` to release the turn.
    pub lora: Option<String>,
    /// Number of requests at this side that wait for the adapter.
    pub waiting: u32,
    /// Shortest time left until a deadline among them, milliseconds.
    #[serde(rename = "left_ms")]
    pub time_left_ms: u64,
    /// Longest time that one of them has waited, milliseconds.
    pub waited_ms: u64,
}

/// Reply of an entry to a [`LoadBid`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadTurn {
    /// The side may load now.
    #[serde(rename = "Go")]
    Granted {
        /// Time after which the turn expires, milliseconds.
        ttl_ms: u64,
    },
    /// Other sides load first.
    Wait {
        /// Time after which to bid again, milliseconds.
        again_ms: u64,
        /// Expected time until the side's turn, milliseconds.
        turn_ms: u64,
        /// Expected time until every side that bids now has had a turn, milliseconds.
        round_ms: u64,
    },
}

/// Request of an entry to a side to bid at once, before the time that the last reply set, as the store is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BidRequest {
    /// Time since the start of the entry, milliseconds.
    pub at_ms: u64,
}

/// Reply of a side to a [`BidRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BidRequestReply {
    /// Whether the side is sending a bid.
    pub bids: bool,
}

impl Serialize for LoadBid {
    /// Writes the fields in the order of their declaration, without names.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let row = (
            &self.vm,
            &self.lora,
            self.waiting,
            self.time_left_ms,
            self.waited_ms,
        );
        row.serialize(serializer)
    }
}
