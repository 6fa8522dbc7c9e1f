//! How far each process that is called has heard of suspects, and was heard.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pumicecleat_types::{Fingerprint, Millis, Seen, SuspectNews};

use super::SuspectTable;

/// Time without an answer after which a process that was called is forgotten.
const MEMORY: Millis = Millis(60_000);

/// What is known of one process that is called.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// Last reply heard from it.
    heard: Seen,
    /// What it was told.
    told: Seen,
    at: Millis,
}

/// The processes that one process calls.
#[derive(Clone, Debug, Default)]
pub struct SuspectSync {
    links: BTreeMap<SocketAddr, Link>,
}

/// News for a call, and how far they go.
#[derive(Clone, Debug, Default)]
pub struct OutgoingNews {
    /// What goes into the call.
    pub news: SuspectNews,
    /// What its answer confirms as told.
    pub sent_up_to: Seen,
}

impl SuspectSync {
    /// News for a call to `peer`.
    #[must_use]
    pub fn outgoing_news(
        &self,
        peer: SocketAddr,
        suspects: &SuspectTable,
        now: Millis,
    ) -> OutgoingNews {
        let link = self.links.get(&peer).copied().unwrap_or_default();
        let mut news = suspects.news(link.told, now);
        let sent_up_to = std::mem::replace(&mut news.seen, link.heard);
        OutgoingNews { news, sent_up_to }
    }

    /// `peer` answered a call that told it as far as `told`; gives the requests of which it told
    /// something new.
    pub fn handle_reply(
        &mut self,
        peer: SocketAddr,
        told: Seen,
        reply: &SuspectNews,
        suspects: &mut SuspectTable,
        now: Millis,
    ) -> Vec<Fingerprint> {
        let link = self.links.entry(peer).or_default();
        let again = link.heard.start != reply.seen.start;
        // One that started again has heard nothing but this call.
        let first = again && link.heard != Seen::default();
        link.told = if first { Seen::default() } else { told };
        link.heard = reply.seen;
        link.at = now;
        self.links.retain(|_, l| now.since(l.at) < MEMORY);
        suspects.merge(&reply.words, now)
    }
}
