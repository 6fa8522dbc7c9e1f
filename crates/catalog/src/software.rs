//! Software versions that were listed for a service, and since when all of them are known.

use std::collections::BTreeMap;

use pumicecleat_types::{BootTime, Millis, ServiceId, SoftwareVersion};

use crate::Upstream;

/// Time for which a version that is no longer listed is remembered. Longer than any stream.
const MEMORY: Millis = Millis(600_000);

/// Longest gap before a read of the whole list in which no upstream can have come, served and gone: loading a
/// base model alone takes longer.
const MAX_GAP: Millis = Millis(500);

/// Time after the first start of the deployment within which a read of the whole list misses nothing.
const FIRST_START_SPAN: Millis = Millis(2_000);

/// Software versions that are no longer listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListedSoftware {
    /// Start of this process with the whole deployment, before which there were no streams.
    first_start: Option<BootTime>,
    /// Whether no entry was missed since then.
    is_whole: bool,
    /// Time since which no entry was missed. A state that is read whole tells nothing of entries before it.
    complete_since: Option<Millis>,
    /// Time of the last read, which also counts while the VM was suspended.
    read_at: Option<BootTime>,
    /// Time between the last two reads.
    gap: Option<Millis>,
    /// Last time at which an upstream with this version was listed.
    past: BTreeMap<(ServiceId, SoftwareVersion), Millis>,
}

impl ListedSoftware {
    /// Notes that this process starts now, together with the whole deployment.
    pub(crate) fn note_first_start(&mut self, now: BootTime) {
        self.first_start = Some(now);
        self.is_whole = true;
    }

    /// Notes that records of the list, or all of it, were read.
    pub(crate) fn note_read(&mut self, now: BootTime) {
        self.gap = self.read_at.map(|at| now.since(at));
        self.read_at = Some(now);
    }

    /// Notes that the whole list was read. Entries since the read before may have been missed.
    pub(crate) fn note_state(&mut self, now: Millis) {
        if self.gap.is_some_and(|gap| gap <= MAX_GAP) {
            return;
        }
        let since_start = self
            .first_start
            .zip(self.read_at)
            .map(|(start, at)| at.since(start));
        let is_first = self.complete_since.is_none();
        self.is_whole &= is_first && since_start.is_some_and(|span| span <= FIRST_START_SPAN);
        self.complete_since = Some(now);
    }

    /// Notes that the list was lost in part.
    pub(crate) fn note_loss(&mut self, now: Millis) {
        self.is_whole = false;
        self.complete_since = self.complete_since.max(Some(now));
    }

    /// Notes that `upstream` is no longer listed, or no longer as it was.
    pub(crate) fn note_past(&mut self, upstream: &Upstream, now: Millis) {
        self.past.retain(|_, at| now.since(*at) < MEMORY);
        let key = (upstream.service.clone(), upstream.software.clone());
        self.past.insert(key, now);
    }

    /// Whether all versions listed within `span` are known.
    pub(crate) fn is_complete(&self, span: Millis, now: Millis) -> bool {
        let is_old = self.complete_since.is_some_and(|at| now.since(at) >= span);
        span < MEMORY && (is_old || (self.is_whole && self.complete_since.is_some()))
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
