//! Checks the offsets of a batch.

use crate::Batch;
use crate::follower::FollowError;
use crate::follower::event::{GapSnafu, ShrunkSnafu};

/// Checks that the records have consecutive offsets from `expected` and that the log does not end
/// before them.
pub(super) fn check_batch(stream: &str, expected: u64, batch: &Batch) -> Result<(), FollowError> {
    let offsets = expected..;
    for (expected, record) in offsets.zip(&batch.records) {
        let found = record.offset;
        if found != expected {
            return GapSnafu {
                stream,
                expected,
                found,
            }
            .fail();
        }
    }
    let end = expected + batch.records.len() as u64;
    if batch.next < end {
        return ShrunkSnafu {
            stream,
            expected: end,
            next: batch.next,
        }
        .fail();
    }
    Ok(())
}
