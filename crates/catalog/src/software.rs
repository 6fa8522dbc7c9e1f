//! Software versions that were listed for a service, and since when all of them are known.

use std::collections::BTreeMap;

use pumicecleat_types::{Millis, ServiceId, SoftwareVersion};

use crate::Upstream;

/// Time for which a version that is no longer listed is remembered. Longer than any stream.
const MEMORY: Millis = Millis(600_000);

/// Software versions that are no longer listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListedSoftware {
    /// Time since which no entry was missed. A state that is read whole tells nothing of entries before it.
    complete_since: Option<Millis>,
    /// Last time at which an upstream with this version was listed.
    past: BTreeMap<(ServiceId, SoftwareVersion), Millis>,
}

impl ListedSoftware {
    /// Notes that the whole list was read, so that entries before it may have been missed.
    pub(crate) fn note_state(&mut self, now: Millis) {
        self.complete_since = Some(now);
    }

    /// Notes that `upstream` is no longer listed, or no longer as it was.
    pub(crate) fn note_past(&mut self, upstream: &Upstream, now: Millis) {
        self.past.retain(|_, at| now.since(*at) < MEMORY);
        let key = (upstream.service.clone(), upstream.software.clone());
        self.past.insert(key, now);
    }

    /// Whether all versions listed within `span` are known.
    pub(crate) fn is_complete(&self, span: Millis, now: Millis) -> bool {
        span < MEMORY && self.complete_since.is_some_and(|at| now.since(at) >= span)
    }

    /// Versions that were listed for `service` within `span` and may be no longer.
    pub(crate) fn past<'a>(
        &'a self,
        service: &'a ServiceId,
        span: Millis,
        now: Millis,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let recent = move |at: Millis| now.since(at) <= span;
        let past = self.past.iter();
        past.filter(move |((s, _), at)| s == service && recent(**at))
            .map(|((_, software), _)| software)
    }
}
