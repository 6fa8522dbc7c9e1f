//! Company at an upstream: a request there shares the steps that the engine makes anyway.
//!
//! An idle engine that is given one request steps for that one alone. Where full batches weigh, such
//! an engine costs more than one that is stepping and has room. A request that needs a load finds no
//! company where more than half of the slots are in use: it would take one of the last from an adapter
//! that is wanted there.

use super::upstream::{Hold, Upstream};

/// Whether a request would share its steps with others.
pub(super) fn has_company(up: &Upstream, hold: Hold) -> bool {
    let load = &up.load;
    let busy = load.running > 0 || load.waiting > 0 || !up.sends.is_empty();
    let crowded = hold == Hold::Absent && load.spare < load.slots.div_ceil(2);
    busy && !crowded
}
