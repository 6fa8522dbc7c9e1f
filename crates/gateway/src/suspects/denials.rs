//! Requests to which an agent granted no trial. They are refused until the time that the agent returned,
//! unless more ends become known.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, SuspectKey, SuspectKind};

#[derive(Clone, Copy, Debug)]
struct Denial {
    until: Millis,
    /// Number of upstreams that the request may have ended at the time of the denial.
    ends: usize,
}

/// Requests without a trial.
#[derive(Debug, Default)]
pub(super) struct Denials {
    denials: BTreeMap<SuspectKey, Denial>,
}

impl Denials {
    /// Records that a request that may have ended `ends` upstreams gets no trial for `span`.
    pub(super) fn add(&mut self, suspect: SuspectKey, ends: usize, span: Millis, now: Millis) {
        self.denials.retain(|_, d| d.until > now);
        let until = now + span;
        self.denials.insert(suspect, Denial { until, ends });
    }

    /// Removes the denials of parts of prompts, because another part was cleared: trials of a set of parts are for one
    /// of them.
    pub(super) fn forget_parts(&mut self) {
        self.denials
            .retain(|suspect, _| suspect.kind != SuspectKind::PromptPart);
    }

    /// Time left for which the request gets no trial.
    pub(super) fn time_left(
        &self,
        suspect: &SuspectKey,
        ends: usize,
        now: Millis,
    ) -> Option<Millis> {
        let denial = self.denials.get(suspect)?;
        let applies = denial.until > now && denial.ends == ends;
        applies.then(|| denial.until.since(now))
    }
}
