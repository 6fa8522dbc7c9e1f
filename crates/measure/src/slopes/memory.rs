//! Memory, from the growth of the process's resident pages.

use crate::path::resident;

/// Copies built, so that pages and what the allocator reuses weigh little.
const COPIES: u32 = 4;

/// Memory of one value, bytes. The copies are kept in `kept`, so that nothing that was freed is
/// reused at the next size.
#[allow(clippy::cast_precision_loss, reason = "bytes far below 2^52")]
pub(super) fn size<T>(kept: &mut Vec<T>, mut build: impl FnMut() -> T) -> f64 {
    // The first one leaves behind what is only used while building.
    kept.push(build());
    let before = resident();
    kept.extend((0..COPIES).map(|_| build()));
    let grown = resident().saturating_sub(before);
    grown as f64 / f64::from(COPIES)
}
