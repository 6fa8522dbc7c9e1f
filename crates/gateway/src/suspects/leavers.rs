//! Leaving upstreams, which may close connections with requests in progress when they end.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

/// Time after an upstream's removal from the list from which its end counts as planned. Some upstreams leave
/// without an announcement and continue to serve for seconds; the removal of one that crashed may become
/// known just before its lost connections.
const GONE_SPAN: Millis = Millis(500);

/// Time for which leaving upstreams are remembered. Longer than an upstream continues to run.
const MEMORY: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Leaver {
    at: Millis,
    /// The upstream announced that it leaves; otherwise it was removed from the list without an announcement.
    said: bool,
}

/// Leaving and removed upstreams, by instance.
#[derive(Debug, Default)]
pub(super) struct Leavers {
    known: BTreeMap<String, Leaver>,
}

impl Leavers {
    /// Records that an upstream leaves or was removed.
    pub(super) fn note(&mut self, instance: &str, said: bool, now: Millis) {
        self.known.retain(|_, l| now.since(l.at) < MEMORY);
        let leaver = Leaver { at: now, said };
        let known = self.known.entry(instance.to_owned()).or_insert(leaver);
        known.said |= said;
    }

    /// Whether the end of `instance` is planned.
    pub(super) fn is_planned(&self, instance: &str, now: Millis) -> bool {
        let known = self.known.get(instance);
        known.is_some_and(|l| l.said || now.since(l.at) >= GONE_SPAN)
    }
}
