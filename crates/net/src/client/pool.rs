//! Connections kept by peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pumicecleat_types::Millis;

use super::sender::Sender;

/// Kept connections, each until it is used again or idle for too long.
pub(super) struct Pool {
    kept: BTreeMap<SocketAddr, Vec<Idle>>,
    /// Connections kept for one peer.
    most: usize,
    /// Time after which an idle connection is closed.
    span: Millis,
    swept: Millis,
}

struct Idle {
    sender: Sender,
    since: Millis,
    /// Not to be used from then on.
    limit: Option<Millis>,
}

impl Pool {
    pub(super) fn new(most: usize, span: Duration) -> Self {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self {
            kept: BTreeMap::new(),
            most,
            span: Millis(ms),
            swept: Millis(0),
        }
    }

    /// Connection to `address` that takes a request now. A shared one stays here as well.
    pub(super) fn take(&mut self, address: SocketAddr, now: Millis) -> Option<Sender> {
        self.sweep(now);
        let list = self.kept.get_mut(&address)?;
        let mut found = None;
        while found.is_none() {
            let Some(idle) = list.pop() else { break };
            if !idle.sender.is_ready() || idle.limit.is_some_and(|at| at <= now) {
                continue;
            }
            if let Some(sender) = idle.sender.share() {
                list.push(Idle {
                    sender,
                    since: now,
                    limit: idle.limit,
                });
            }
            found = Some(idle.sender);
        }
        if list.is_empty() {
            self.kept.remove(&address);
        }
        found
    }

    /// Keeps a connection to `address`, unless it is closed or enough are kept.
    pub(super) fn keep(
        &mut self,
        address: SocketAddr,
        sender: Sender,
        limit: Option<Millis>,
        now: Millis,
    ) {
        if sender.is_closed() {
            return;
        }
        let most = if sender.is_shared() { 1 } else { self.most };
        let list = self.kept.entry(address).or_default();
        if list.len() < most {
            list.push(Idle {
                sender,
                since: now,
                limit,
            });
        }
    }

    /// Closes what has been idle for too long, looking at most twice in that time.
    fn sweep(&mut self, now: Millis) {
        if now.since(self.swept).0 < self.span.0 / 2 {
            return;
        }
        self.swept = now;
        let span = self.span;
        self.kept.retain(|_, list| {
            list.retain(|idle| now.since(idle.since) < span && !idle.sender.is_closed());
            !list.is_empty()
        });
    }
}
