//! Exchange of suspects with the processes that this process calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pumicecleat_types::{ChangeCursor, Millis, SuspectKey, SuspectNews};

use super::SuspectTable;

/// Time since its last reply after which the state of a peer is removed.
const PEER_TTL: Millis = Millis(60_000);

/// State of the exchange with one peer.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Position in the peer's changes up to which they were received.
    received: ChangeCursor,
    /// Position in the own changes up to which the peer has them.
    acked: ChangeCursor,
    replied_at: Millis,
}

/// State of the exchange with each peer.
#[derive(Clone, Debug, Default)]
pub struct SuspectSync {
    peers: BTreeMap<SocketAddr, Peer>,
}

/// News to send with a call.
#[derive(Clone, Debug, Default)]
pub struct OutgoingNews {
    /// Content of the call.
    pub news: SuspectNews,
    /// Position in the own changes up to which the peer has them once it replies.
    pub sent_up_to: ChangeCursor,
}

impl SuspectSync {
    /// Returns the news for a call to `peer`.
    #[must_use]
    pub fn outgoing_news(
        &self,
        peer: SocketAddr,
        suspects: &SuspectTable,
        now: Millis,
    ) -> OutgoingNews {
        let state = self.peers.get(&peer).copied().unwrap_or_default();
        let mut news = suspects.news(state.acked, now);
        let sent_up_to = std::mem::replace(&mut news.seen, state.received);
        OutgoingNews { news, sent_up_to }
    }

    /// Applies the reply of `peer` to a call that carried the changes up to `sent_up_to`; returns the suspects
    /// for which it contained something new.
    pub fn handle_reply(
        &mut self,
        peer: SocketAddr,
        sent_up_to: ChangeCursor,
        reply: &SuspectNews,
        suspects: &mut SuspectTable,
        now: Millis,
    ) -> Vec<SuspectKey> {
        let state = self.peers.entry(peer).or_default();
        let start_changed = state.received.start != reply.seen.start;
        // A peer that has restarted knows only what this call carried.
        let restarted = start_changed && state.received != ChangeCursor::default();
        state.acked = if restarted {
            ChangeCursor::default()
        } else {
            sent_up_to
        };
        state.received = reply.seen;
        state.replied_at = now;
        self.peers.retain(|_, p| now.since(p.replied_at) < PEER_TTL);
        suspects.merge(&reply.reports, now)
    }
}
