//! Engines that a relay proposes for a request.

use pumicecleat_policy::TurnSearch;
use pumicecleat_types::{CandidatesCall, Millis};

use super::binding::Binding;
use super::choose::adapter_version;
use super::job::Job;
use crate::candidates::fetch_candidates;

/// Time for which a request that waits for an engine relies on proposals. A relay that proposed none knows of others by
/// then.
const SHORTLIST_TTL: Millis = Millis(200);

/// Engines proposed by a relay, to which the search is limited.
#[derive(Default)]
pub(super) struct Shortlist {
    /// `None` if no relay proposed any: all engines are candidates.
    instances: Option<Vec<String>>,
    fetched_at: Option<Millis>,
}

impl Shortlist {
    /// Asks for proposals if there are none yet.
    pub(super) async fn refresh(&mut self, job: &Job, search: &TurnSearch) {
        // A relay knows nothing of software versions.
        let is_bound = job.binding != Binding::Unbound;
        if is_bound || self.fetched_at.is_some() || job.shared.relay.get().is_none() {
            return;
        }
        let now = job.shared.timer.now();
        let mut without = job.shared.table.unsuitable(now);
        without.extend(search.excluded().map(str::to_owned));
        without.extend(job.tried_instances.iter().cloned());
        let model = job.attributes.model.as_ref();
        let call = CandidatesCall {
            service: job.service.clone(),
            adapter: model.and_then(|m| m.adapter.clone()),
            min_version: adapter_version(job).unwrap_or_default(),
            prompt_tokens: job.attributes.prompt_tokens,
            without,
        };
        self.instances = fetch_candidates(&job.shared, &call).await;
        self.fetched_at = Some(now);
    }

    /// Discards proposals that are too old.
    pub(super) fn expire(&mut self, now: Millis) {
        let is_old = |at: Millis| now.since(at) >= SHORTLIST_TTL;
        if self.fetched_at.is_some_and(is_old) {
            self.clear();
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn contains(&self, instance: &str) -> bool {
        let instances = self.instances.as_ref();
        instances.is_none_or(|all| all.iter().any(|i| i == instance))
    }
}
