//! Which records can't be read, so that each is told of once.
//!
//! Another writer may put anything among the records, and again each second; a snapshot brings all of
//! it again.

use std::collections::BTreeSet;

use pumicecleat_ops::{Log, events, field};

use crate::DecodeError;

/// Keys remembered; beyond them a record may be told of again.
const KEYS: usize = 1_024;

/// Keys of records that can't be read.
#[derive(Debug, Default)]
pub struct UnreadableKeys {
    keys: BTreeSet<String>,
}

impl UnreadableKeys {
    /// Tells of a record that can't be read, unless it was told of since it last could be.
    pub fn log_once(&mut self, error: &DecodeError, log: &Log) {
        if self.keys.len() >= KEYS {
            self.keys.clear();
        }
        if self.keys.insert(error.key.clone()) {
            log.emit(&events::RECORD_UNREADABLE, &[field("error", error)]);
        }
    }

    /// The record of `key` can be read.
    pub fn clear(&mut self, key: &str) {
        self.keys.remove(key);
    }
}
