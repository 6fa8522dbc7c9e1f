//! Choice of the agent that collects the figures of engines for a gateway.
//!
//! If each gateway polled each agent five times a second, exchanges would grow with the product of gateways
//! and engines: 68 gateways and 117 engines make 40,000 a second. Instead, one agent in each data centre
//! collects figures for all gateways there, and asks one agent in each other data centre for the figures of
//! that data centre. Gateways agree on the agent by its rank, without communication, and skip one that failed
//! for a while.

use std::collections::BTreeMap;

use pumicecleat_types::{ChangeCursor, Member, Millis, ViewReply};
use xxhash_rust::xxh3::xxh3_64;

/// Number of engines up to which a gateway asks each agent directly. Figures are half as old that way, and 16
/// exchanges in a fifth of a second are 80 a second.
const MAX_DIRECT_ENGINES: usize = 16;

/// Time for which a relay that failed is skipped. Agents that restart are back within two seconds.
const SKIP_TIME: Millis = Millis(2_000);

/// The selected relay, and what to send to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPick {
    /// Index among the members.
    pub index: usize,
    /// Key of the relay.
    pub key: u64,
    /// Whether the call has to include the members. Otherwise the relay knows them by their digest.
    pub send_members: bool,
    /// Last reply received from the relay.
    pub seen: ChangeCursor,
}

/// Selects the relay for one caller and remembers what it replied.
#[derive(Clone, Debug, Default)]
pub struct RelaySelector {
    failures: BTreeMap<u64, Millis>,
    /// Relay that replied last, and the digest of the members that it knows.
    last: Option<(u64, u64)>,
    seen: ChangeCursor,
}

impl RelaySelector {
    /// Whether the figures of this many engines are requested through a relay.
    #[must_use]
    pub fn is_needed(engines: usize) -> bool {
        engines > MAX_DIRECT_ENGINES
    }

    /// Selects the agent among `members` that ranks first, preferring agents without a recent failure and,
    /// among those, agents that are `near`.
    #[must_use]
    pub fn pick(
        &self,
        members: &[Member],
        digest: u64,
        near: impl Fn(&Member) -> bool,
        now: Millis,
    ) -> Option<RelayPick> {
        let order = |m: &Member| {
            let key = agent_key(m);
            (self.is_skipped(key, now), !near(m), key)
        };
        let indexed = members.iter().enumerate();
        let (index, member) = indexed.min_by_key(|(_, m)| order(m))?;
        let key = agent_key(member);
        let same = self.last.filter(|(last, _)| *last == key);
        Some(RelayPick {
            index,
            key,
            send_members: same.is_none_or(|(_, known)| known != digest),
            seen: same.map_or(ChangeCursor::default(), |_| self.seen),
        })
    }

    /// Records the reply of a relay to a call for the members of `digest`.
    pub fn record_reply(&mut self, key: u64, digest: u64, reply: &ViewReply) {
        self.last = (!reply.unknown).then_some((key, digest));
        self.seen = reply.seen;
    }

    /// Records that a relay did not reply in time.
    pub fn record_failure(&mut self, key: u64, now: Millis) {
        self.failures.retain(|_, at| now.since(*at) < SKIP_TIME);
        self.failures.insert(key, now);
    }

    fn is_skipped(&self, key: u64, now: Millis) -> bool {
        let at = self.failures.get(&key);
        at.is_some_and(|at| now.since(*at) < SKIP_TIME)
    }
}

/// Rank of an agent: the same for all callers, and unchanged when its engine restarts.
fn agent_key(member: &Member) -> u64 {
    xxh3_64(member.side.to_string().as_bytes())
}

/// Digest by which a relay recognises a list of members that it was sent before.
#[must_use]
pub fn members_digest(members: &[Member]) -> u64 {
    let rows = members
        .iter()
        .map(|m| format!("{} {} {}", m.instance, m.centre, m.side));
    xxh3_64(rows.collect::<Vec<_>>().join("\n").as_bytes())
}
