//! Which side gathers the figures of engines for an entry.
//!
//! Where each entry asks each side for its figures five times a second, exchanges grow with entries times
//! engines: 68 entries before 117 engines make 40,000 a second. So in each data centre one side gathers
//! for all entries there, and asks one in each other data centre for what is there. Entries agree on it
//! without a word, by rank; one that fails them is passed over for a while.

use std::collections::BTreeMap;

use pumicecleat_types::{Member, Millis, Seen, ViewReply};
use xxhash_rust::xxh3::xxh3_64;

/// Engines up to which an entry asks each side itself: its figures are half as old that way, and 16
/// exchanges in a fifth of a second are 80 a second.
const DIRECT_MOST: usize = 16;

/// Time for which a relay that failed is passed over: sides that start again are back within two
/// seconds.
const PASSED_OVER: Millis = Millis(2_000);

/// A relay picked, and what to tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPick {
    /// Index among the members.
    pub index: usize,
    /// Key of the relay.
    pub key: u64,
    /// Whether it has to be told the members; otherwise it knows them by their digest.
    pub send_members: bool,
    /// Last reply had from it.
    pub seen: Seen,
}

/// The way to the side that gathers, as one asker sees it.
#[derive(Clone, Debug, Default)]
pub struct RelaySelector {
    failed: BTreeMap<u64, Millis>,
    /// Relay that last answered, and the digest of the members that it knows.
    last: Option<(u64, u64)>,
    seen: Seen,
}

impl RelaySelector {
    /// Whether the figures of this many engines are asked of a relay.
    #[must_use]
    pub fn is_needed(engines: usize) -> bool {
        engines > DIRECT_MOST
    }

    /// Side to ask among `members`: the first by rank that did not fail lately, of those that are
    /// `near` if there is one.
    #[must_use]
    pub fn pick(
        &self,
        members: &[Member],
        digest: u64,
        near: impl Fn(&Member) -> bool,
        now: Millis,
    ) -> Option<RelayPick> {
        let order = |m: &Member| {
            let key = side_key(m);
            (self.is_passed_over(key, now), !near(m), key)
        };
        let indexed = members.iter().enumerate();
        let (at, member) = indexed.min_by_key(|(_, m)| order(m))?;
        let key = side_key(member);
        let same = self.last.filter(|(last, _)| *last == key);
        Some(RelayPick {
            index: at,
            key,
            send_members: same.is_none_or(|(_, known)| known != digest),
            seen: same.map_or(Seen::default(), |_| self.seen),
        })
    }

    /// The relay answered a call for the members of `digest`.
    pub fn record_reply(&mut self, key: u64, digest: u64, reply: &ViewReply) {
        self.last = (!reply.unknown).then_some((key, digest));
        self.seen = reply.seen;
    }

    /// The relay did not answer in time.
    pub fn record_failure(&mut self, key: u64, now: Millis) {
        self.failed.retain(|_, at| now.since(*at) < PASSED_OVER);
        self.failed.insert(key, now);
    }

    fn is_passed_over(&self, key: u64, now: Millis) -> bool {
        let at = self.failed.get(&key);
        at.is_some_and(|at| now.since(*at) < PASSED_OVER)
    }
}

/// Rank of a side, the same for all askers and through restarts of its engine.
fn side_key(member: &Member) -> u64 {
    xxh3_64(member.side.to_string().as_bytes())
}

/// Digest of members, by which one who was told them knows them again.
#[must_use]
pub fn members_digest(members: &[Member]) -> u64 {
    let rows = members
        .iter()
        .map(|m| format!("{} {} {}", m.instance, m.centre, m.side));
    xxh3_64(rows.collect::<Vec<_>>().join("\n").as_bytes())
}
