//! Incremental check of a snapshot record, so that an event loop can do other work in between.
//!
//! A scan supports the layout that [`Fold::snapshot_record`](super::Fold::snapshot_record) writes.
//! Any other record is checked in one step, so that scanning does not affect the result.

use serde::de::DeserializeOwned;

use super::record::{SettledChange, open_envelope};
use super::view::SnapshotView;
use crate::digest::{Digest, Sum};
use crate::model::Item;

/// Name of the record variant of a snapshot.
const SNAPSHOT_VARIANT: &str = "Snapshot";

/// Number of fields of an encoded snapshot.
const FIELD_COUNT: u32 = 6;

/// Incremental scan of a snapshot record.
#[derive(Debug)]
pub struct SnapshotScan<'r> {
    rest: &'r [u8],
    remaining: u32,
    revision: u64,
    next: u64,
    digest: Digest,
    sum: Sum,
}

impl<'r> SnapshotScan<'r> {
    /// Starts the scan of a record; `None` if it is not a snapshot of the supported layout.
    #[must_use]
    pub fn open(bytes: &'r [u8]) -> Option<Self> {
        let std::borrow::Cow::Borrowed(body) = open_envelope(bytes).ok()? else {
            return None;
        };
        let mut rest = body;
        let variants = rmp::decode::read_map_len(&mut rest).ok()?;
        if variants != 1 || read_value::<String>(&mut rest)? != SNAPSHOT_VARIANT {
            return None;
        }
        let fields = rmp::decode::read_map_len(&mut rest).ok()?;
        if fields != FIELD_COUNT {
            return None;
        }
        let revision = read_field(&mut rest, "revision")?;
        let next = read_field(&mut rest, "next")?;
        let digest = read_field(&mut rest, "digest")?;
        expect_key(&mut rest, "config")?;
        let remaining = rmp::decode::read_array_len(&mut rest).ok()?;
        Some(Self {
            rest,
            remaining,
            revision,
            next,
            digest,
            sum: Sum::default(),
        })
    }

    /// Reads up to `items` items; returns whether more are left. Stops at a malformed one.
    pub fn step(&mut self, items: u32) -> bool {
        for _ in 0..items.min(self.remaining) {
            let Some(item) = read_value::<Item>(&mut self.rest) else {
                return false;
            };
            self.sum.add(&item);
            self.remaining -= 1;
        }
        self.remaining > 0
    }

    /// Returns the snapshot; `None` if it is incomplete or malformed.
    pub(super) fn finish(mut self) -> Option<SnapshotView> {
        if self.remaining > 0 {
            return None;
        }
        let window: Vec<SettledChange> = read_field(&mut self.rest, "window")?;
        let mark = read_field(&mut self.rest, "mark")?;
        Some(SnapshotView {
            revision: self.revision,
            next: self.next,
            digest: self.digest,
            sum: self.sum,
            window,
            mark,
        })
    }
}

fn read_field<T: DeserializeOwned>(rest: &mut &[u8], name: &str) -> Option<T> {
    expect_key(rest, name)?;
    read_value(rest)
}

fn expect_key(rest: &mut &[u8], name: &str) -> Option<()> {
    (read_value::<String>(rest)? == name).then_some(())
}

/// Decodes the next value, and advances `rest` past it.
fn read_value<T: DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    T::deserialize(&mut rmp_serde::Deserializer::new(rest)).ok()
}
