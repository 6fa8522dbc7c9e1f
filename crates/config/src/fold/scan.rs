//! The check of a snapshot record in slices, so that a loop has other work between them.
//!
//! It takes the layout that [`Fold::snapshot_record`](super::Fold::snapshot_record) writes. Of any
//! other bytes a scan says nothing, and the record is judged in one step, so that the way of reading
//! changes no verdict.

use serde::de::DeserializeOwned;

use super::record::{SettledChange, unseal};
use super::view::SnapshotView;
use crate::digest::{Digest, Sum};
use crate::model::Item;

/// Variant of a snapshot.
const VARIANT: &str = "Snapshot";

/// Fields of a snapshot, as written.
const FIELDS: u32 = 6;

/// A snapshot record that is read from the start on.
#[derive(Debug)]
pub struct SnapshotScan<'r> {
    rest: &'r [u8],
    left: u32,
    revision: u64,
    next: u64,
    digest: Digest,
    sum: Sum,
}

impl<'r> SnapshotScan<'r> {
    /// Scan of a record's bytes; `None` if it is no snapshot as written here.
    #[must_use]
    pub fn open(bytes: &'r [u8]) -> Option<Self> {
        let std::borrow::Cow::Borrowed(body) = unseal(bytes).ok()? else {
            return None;
        };
        let mut rest = body;
        let variants = rmp::decode::read_map_len(&mut rest).ok()?;
        if variants != 1 || value::<String>(&mut rest)? != VARIANT {
            return None;
        }
        let fields = rmp::decode::read_map_len(&mut rest).ok()?;
        if fields != FIELDS {
            return None;
        }
        let revision = field(&mut rest, "revision")?;
        let next = field(&mut rest, "next")?;
        let digest = field(&mut rest, "digest")?;
        key(&mut rest, "config")?;
        let left = rmp::decode::read_array_len(&mut rest).ok()?;
        Some(Self {
            rest,
            left,
            revision,
            next,
            digest,
            sum: Sum::default(),
        })
    }

    /// Takes up to so many items in; tells whether more are left. Ends early at a malformed one.
    pub fn step(&mut self, items: u32) -> bool {
        for _ in 0..items.min(self.left) {
            let Some(item) = value::<Item>(&mut self.rest) else {
                return false;
            };
            self.sum.add(&item);
            self.left -= 1;
        }
        self.left > 0
    }

    /// What was read; `None` if it is not whole.
    pub(super) fn finish(mut self) -> Option<SnapshotView> {
        if self.left > 0 {
            return None;
        }
        let window: Vec<SettledChange> = field(&mut self.rest, "window")?;
        let mark = field(&mut self.rest, "mark")?;
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

fn field<T: DeserializeOwned>(rest: &mut &[u8], name: &str) -> Option<T> {
    key(rest, name)?;
    value(rest)
}

fn key(rest: &mut &[u8], name: &str) -> Option<()> {
    (value::<String>(rest)? == name).then_some(())
}

/// Next value; the rest starts behind it.
fn value<T: DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    T::deserialize(&mut rmp_serde::Deserializer::new(rest)).ok()
}
