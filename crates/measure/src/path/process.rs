//! What running processes cost, from the system's own accounts.

use std::fs;
use std::path::Path;
use std::time::Duration;

use super::parts::Times;
use super::thread::{resident_in, time_in, wait_in};

/// An entry and a side that someone else started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Processes {
    /// Process id of the entry.
    pub(super) entry: u32,
    /// Process id of the side.
    pub(super) side: u32,
}

/// Resident memory of entry and side, bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Memory {
    pub(super) entry: u64,
    pub(super) side: u64,
}

impl Processes {
    /// Processor times so far, over all threads.
    pub(super) fn times(self) -> Times {
        Times {
            entry: sum_of(self.entry, time_in),
            side: sum_of(self.side, time_in),
            entry_wait: sum_of(self.entry, wait_in),
            side_wait: sum_of(self.side, wait_in),
        }
    }

    /// Resident memory now.
    pub(super) fn memory(self) -> Memory {
        Memory {
            entry: resident_in(&folder(self.entry)),
            side: resident_in(&folder(self.side)),
        }
    }
}

impl Memory {
    /// Growth since `before`.
    pub(super) fn since(self, before: Self) -> Self {
        Self {
            entry: self.entry.saturating_sub(before.entry),
            side: self.side.saturating_sub(before.side),
        }
    }
}

fn sum_of(id: u32, account: fn(&str) -> Duration) -> Duration {
    let tasks = fs::read_dir(Path::new(&folder(id)).join("task"));
    let tasks = tasks.into_iter().flatten().flatten();
    tasks.map(|t| account(&t.path().to_string_lossy())).sum()
}

fn folder(id: u32) -> String {
    format!("/proc/{id}")
}
