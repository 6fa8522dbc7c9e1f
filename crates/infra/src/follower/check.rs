//! Check of a batch against the offset wanted.

use crate::Batch;
use crate::follower::FollowError;
use crate::follower::event::{GapSnafu, ShrunkSnafu};

/// Accepts records that rise one by one from `expected`.
pub(super) fn check_batch(stream: &str, expected: u64, batch: &Batch) -> Result<(), FollowError> {
    let due = expected..;
    for (expected, record) in due.zip(&batch.records) {
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
