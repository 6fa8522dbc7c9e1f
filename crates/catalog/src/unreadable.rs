//! Keys of undecodable records, so that each record is logged only once.
//!
//! Another writer may write invalid records and rewrite them every second, and each snapshot returns all of
//! them again.

use std::collections::BTreeSet;

use pumicecleat_ops::{Log, events, field};

use crate::DecodeError;

/// Maximum number of keys kept. The set is cleared at this size, after which records may be logged again.
const MAX_KEYS: usize = 1_024;

/// Keys of records that could not be decoded.
#[derive(Debug, Default)]
pub struct UnreadableKeys {
    keys: BTreeSet<String>,
}

impl UnreadableKeys {
    /// Logs an undecodable record unless it was already logged since it could last be decoded.
    pub fn log_once(&mut self, error: &DecodeError, log: &Log) {
        if self.keys.len() >= MAX_KEYS {
            self.keys.clear();
        }
        if self.keys.insert(error.key.clone()) {
            log.emit(&events::RECORD_UNREADABLE, &[field("error", error)]);
        }
    }

    /// Notes that the record of `key` was decoded.
    pub fn clear(&mut self, key: &str) {
        self.keys.remove(key);
    }
}
