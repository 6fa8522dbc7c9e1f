//! Requests that an agent gave no permission for: they are refused until the time that it told, unless more
//! becomes known.

use std::collections::BTreeMap;

use pumicecleat_types::{Fingerprint, Millis};

#[derive(Clone, Copy, Debug)]
struct Denial {
    until: Millis,
    /// Upstreams that the request may have ended then.
    ends: usize,
}

/// Requests without permission.
#[derive(Debug, Default)]
pub(super) struct Denials {
    known: BTreeMap<Fingerprint, Denial>,
}

impl Denials {
    /// A request under which `ends` upstreams ended has no permission for `span`.
    pub(super) fn add(&mut self, fingerprint: Fingerprint, ends: usize, span: Millis, now: Millis) {
        self.known.retain(|_, d| d.until > now);
        let until = now + span;
        self.known.insert(fingerprint, Denial { until, ends });
    }

    /// Time for which it has none.
    pub(super) fn left(
        &self,
        fingerprint: &Fingerprint,
        ends: usize,
        now: Millis,
    ) -> Option<Millis> {
        let denial = self.known.get(fingerprint)?;
        let holds = denial.until > now && denial.ends == ends;
        holds.then(|| denial.until.since(now))
    }
}
