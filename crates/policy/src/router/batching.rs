//! Preference for upstreams that are already running a batch.
//!
//! A request there shares engine steps that are made anyway, while an idle engine steps for that
//! one request alone. If the deployment's weights favour full batches, an idle engine costs more
//! than a busy one with room in its batch. The preference does not apply to a request that needs a
//! load where more than half of the slots are in use: it would take one of the last slots from an
//! adapter that is wanted there.

use super::upstream::{Residency, Upstream};

/// Whether a request would share its steps with other requests.
pub(super) fn shares_steps(up: &Upstream, residency: Residency) -> bool {
    let load = &up.load;
    let busy = load.running > 0 || load.waiting > 0 || !up.unreported_sends.is_empty();
    let lacks_slots = residency == Residency::Absent && load.spare_slots < load.slots.div_ceil(2);
    busy && !lacks_slots
}
