//! Exchange of suspects with the agents.

use std::net::SocketAddr;

use pumicecleat_policy::OutgoingNews;
use pumicecleat_types::{ChangeCursor, SuspectNews};

use super::log_suspected;
use crate::shared::Shared;

/// News for a call to `peer`.
pub(crate) fn outgoing_news(shared: &Shared, peer: SocketAddr) -> OutgoingNews {
    let now = shared.timer.now();
    let suspects = &shared.suspects;
    suspects
        .sync
        .borrow()
        .outgoing_news(peer, &suspects.table.borrow(), now)
}

/// Applies the reply of `peer` to a call that carried changes up to `sent_up_to`.
pub(crate) fn apply_reply(
    shared: &Shared,
    peer: SocketAddr,
    sent_up_to: ChangeCursor,
    reply: &SuspectNews,
) {
    let now = shared.timer.now();
    let suspects = &shared.suspects;
    let changed = {
        let mut table = suspects.table.borrow_mut();
        let mut sync = suspects.sync.borrow_mut();
        sync.handle_reply(peer, sent_up_to, reply, &mut table, now)
    };
    if changed.is_empty() {
        return;
    }
    suspects.denials.borrow_mut().forget_parts();
    let source = peer.to_string();
    for suspect in changed {
        log_suspected(shared, &suspect, &source);
    }
}
