//! Exchange of suspects with the agents.

use std::net::SocketAddr;

use pumicecleat_policy::OutgoingNews;
use pumicecleat_types::{Seen, SuspectNews};

use super::tell_suspected;
use crate::shared::Shared;

/// News for a call to `peer`.
pub(crate) fn tell(shared: &Shared, peer: SocketAddr) -> OutgoingNews {
    let now = shared.timer.now();
    let guard = &shared.guard;
    guard
        .links
        .borrow()
        .outgoing_news(peer, &guard.table.borrow(), now)
}

/// Applies the reply of `peer` to a call that carried changes up to `sent_up_to`.
pub(crate) fn hear(shared: &Shared, peer: SocketAddr, told: Seen, reply: &SuspectNews) {
    let now = shared.timer.now();
    let guard = &shared.guard;
    let changed = {
        let mut table = guard.table.borrow_mut();
        let mut links = guard.links.borrow_mut();
        links.handle_reply(peer, told, reply, &mut table, now)
    };
    if changed.is_empty() {
        return;
    }
    let source = peer.to_string();
    for fingerprint in changed {
        tell_suspected(shared, &fingerprint, &source);
    }
}
