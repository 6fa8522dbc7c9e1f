//! Upstreams that leave, which may cut what is under way at their end.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Time after an upstream's removal from the list from which its end is taken for a planned one. Some leave
/// without a word and serve on for seconds; one that crashed may be heard to be gone just before its
/// connections are seen to break off.
const GONE_SPAN: Millis = Millis(500);

/// Time for which leaving is remembered: longer than an upstream goes on after it.
const MEMORY: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Leaver {
    at: Millis,
    /// It said so; otherwise it was removed without a word.
    said: bool,
}

/// Upstreams that leave or are gone, by instance.
#[derive(Debug, Default)]
pub(super) struct Leavers {
    known: BTreeMap<String, Leaver>,
}

impl Leavers {
    /// An upstream leaves, or is gone, from `now` on.
    pub(super) fn note(&mut self, instance: &str, said: bool, now: Millis) {
        self.known.retain(|_, l| now.since(l.at) < MEMORY);
        let leaver = Leaver { at: now, said };
        let known = self.known.entry(instance.to_owned()).or_insert(leaver);
        known.said |= said;
    }

    /// Whether the end of `instance` is a planned one.
    pub(super) fn is_planned(&self, instance: &str, now: Millis) -> bool {
        let known = self.known.get(instance);
        known.is_some_and(|l| l.said || now.since(l.at) >= GONE_SPAN)
    }
}
