//! State of the catalog, as far as this process knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pumicecleat_types::{Millis, ServiceId};

use crate::lapsed::LapsedUpstreams;
use crate::newest_entries::NewestEntries;
use crate::{Change, Layout, Standing, Upstream};

/// Time after an outage of the list within which a lapsed entry may return. The list promises about two
/// seconds; the rest allows for network latency.
const LAPSE_SPAN: Millis = Millis(2_300);

/// A process's view of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    layout: Option<Rc<Layout>>,
    versions: BTreeMap<String, u64>,
    upstreams: BTreeMap<String, Upstream>,
    newest: NewestEntries,
    /// Upstreams whose entries lapsed around an outage.
    lapsed: LapsedUpstreams,
    /// End of the last outage of the list.
    list_recovered_at: Option<Millis>,
    /// Time when the log was last restored from an older copy.
    store_renewed_at: Option<Millis>,
}

/// Effect of applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A new configuration is in force.
    Layout {
        /// Number of the configuration.
        number: u64,
    },
    /// A configuration was rejected because it is older than the one in force.
    Stale {
        /// Number of the rejected configuration.
        number: u64,
    },
    /// A newer version of an adapter is known.
    Version {
        /// Adapter.
        adapter: String,
        /// Version.
        version: u64,
    },
    /// An upstream is new or its entry has changed.
    Upstream {
        /// Instance.
        instance: String,
        /// Current standing.
        standing: Standing,
    },
    /// An upstream restarted under the same instance name: earlier knowledge about it is void.
    Restarted {
        /// Instance.
        instance: String,
        /// Current standing.
        standing: Standing,
    },
    /// An upstream was removed.
    Gone {
        /// Instance.
        instance: String,
    },
    /// An upstream's entry lapsed around an outage; the upstream is kept for a while as the entry may return.
    Lapsed {
        /// Instance.
        instance: String,
        /// Time for which the upstream is kept.
        retained_for: Millis,
    },
    /// The entry of an upstream returned after it had lapsed.
    Returned {
        /// Instance.
        instance: String,
    },
    /// An entry was rejected because it is older than one read before.
    Outdated {
        /// Instance.
        instance: String,
    },
    /// Nothing changed.
    Unchanged,
}

impl Applied {
    /// Returns whether this counts as a change: everything but `Outdated` and `Unchanged`.
    #[must_use]
    pub fn is_change(&self) -> bool {
        !matches!(self, Self::Unchanged | Self::Outdated { .. })
    }
}

impl Catalog {
    /// Returns the configuration in force, if one is known.
    #[must_use]
    pub fn layout(&self) -> Option<&Rc<Layout>> {
        self.layout.as_ref()
    }

    /// Returns the newest version of an adapter, if one was declared.
    #[must_use]
    pub fn version(&self, adapter: &str) -> Option<u64> {
        self.versions.get(adapter).copied()
    }

    /// Returns the upstream with an instance name.
    #[must_use]
    pub fn upstream(&self, instance: &str) -> Option<&Upstream> {
        self.upstreams.get(instance)
    }

    /// Returns all upstreams, including those kept although their entries lapsed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that accept requests.
    pub fn ready_upstreams<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Upstream> {
        let ready = |u: &&Upstream| u.service == *service && u.standing == Standing::Ready;
        self.upstreams.values().filter(ready)
    }

    /// Applies a change.
    pub fn apply(&mut self, change: Change, now: Millis) -> Applied {
        match change {
            Change::Layout(layout) => self.apply_layout(layout),
            Change::Version { adapter, version } => self.apply_version(adapter, version),
            Change::Upstream(upstream) => {
                // Failed reads of this process can't distinguish an outage of the list from a lost
                // connection; entries of other upstreams can.
                self.lapsed.note_write(&upstream.instance, now);
                self.apply_upstream(upstream, now)
            }
            Change::Gone { instance } => self.remove(instance, now),
            Change::Unusable { instance } => self.remove_unusable(instance),
            Change::Other => Applied::Unchanged,
        }
    }

    /// Replaces the list of upstreams; upstreams missing from `list` are removed or kept as lapsed.
    pub fn replace(&mut self, list: Vec<Upstream>, now: Millis) -> Vec<Applied> {
        let present: BTreeSet<String> = list.iter().map(|u| u.instance.clone()).collect();
        let known = self.upstreams.keys();
        let missing: Vec<String> = known.filter(|i| !present.contains(*i)).cloned().collect();
        let mut applied: Vec<Applied> = missing
            .into_iter()
            .map(|instance| self.remove(instance, now))
            .collect();
        applied.extend(list.into_iter().map(|u| self.apply_upstream(u, now)));
        applied
    }

    /// Notes that the list has been available again since `at`. Entries of live upstreams may have lapsed
    /// during the outage.
    pub fn note_list_recovery(&mut self, at: Millis) {
        self.list_recovered_at = Some(at);
    }

    /// Notes that the log was restored from an older copy at `at`. Entries of live upstreams may be missing
    /// until the upstreams write them again.
    pub fn note_store_renewal(&mut self, at: Millis) {
        self.store_renewed_at = self.store_renewed_at.max(Some(at));
    }

    /// Removes upstreams whose lapsed entries did not return in time.
    pub fn expire(&mut self, now: Millis) -> Vec<Applied> {
        self.newest.expire(now);
        let expired = self.lapsed.expired(now);
        expired
            .into_iter()
            .map(|i| self.remove_now(i, now))
            .collect()
    }

    fn apply_layout(&mut self, layout: Layout) -> Applied {
        let number = layout.number;
        match &self.layout {
            Some(current) if current.number > number => Applied::Stale { number },
            Some(current) if current.number == number => Applied::Unchanged,
            _ => {
                self.layout = Some(Rc::new(layout));
                Applied::Layout { number }
            }
        }
    }

    fn apply_version(&mut self, adapter: String, version: u64) -> Applied {
        let current = self.versions.entry(adapter.clone()).or_default();
        if *current >= version {
            return Applied::Unchanged;
        }
        *current = version;
        Applied::Version { adapter, version }
    }

    fn apply_upstream(&mut self, upstream: Upstream, now: Millis) -> Applied {
        let instance = upstream.instance.clone();
        if self.newest.is_newer_than(&upstream, now) {
            return Applied::Outdated { instance };
        }
        let (standing, born) = (upstream.standing, upstream.born);
        let known = self.upstreams.get(&instance).and_then(|k| k.born);
        match (known, born) {
            // Every start of this upstream writes its start time, so another program wrote this entry.
            (Some(_), None) => return self.forget(instance),
            // Written by an earlier start than the known one.
            (Some(known), Some(born)) if born < known => return Applied::Unchanged,
            _ => {}
        }
        let was_lapsed = self.lapsed.remove(&instance);
        self.newest.note(&upstream, now);
        let before = self.upstreams.get(&instance);
        let is_rewrite = before.is_some_and(|before| upstream.is_rewrite_of(before));
        match self.upstreams.insert(instance.clone(), upstream) {
            Some(before) if before.born.is_some() && before.born < born => {
                Applied::Restarted { instance, standing }
            }
            Some(_) if is_rewrite && was_lapsed => Applied::Returned { instance },
            Some(_) if is_rewrite => Applied::Unchanged,
            _ => Applied::Upstream { instance, standing },
        }
    }

    /// Removes an upstream whose entry can't be decoded. It isn't kept as lapsed, since its entry was written
    /// and did not lapse.
    fn remove_unusable(&mut self, instance: String) -> Applied {
        if !self.upstreams.contains_key(&instance) {
            return Applied::Unchanged;
        }
        self.forget(instance)
    }

    fn remove(&mut self, instance: String, now: Millis) -> Applied {
        if !self.upstreams.contains_key(&instance) {
            return Applied::Unchanged;
        }
        match self.list_recovered_at.max(self.store_renewed_at) {
            Some(at) if now.since(at) < LAPSE_SPAN => {
                let retained_for = (at + LAPSE_SPAN).since(now);
                self.lapse(instance, now, retained_for)
            }
            _ => self.remove_now(instance, now),
        }
    }

    fn remove_now(&mut self, instance: String, now: Millis) -> Applied {
        self.newest.note_removal(&instance, now);
        self.forget(instance)
    }

    fn lapse(&mut self, instance: String, now: Millis, retained_for: Millis) -> Applied {
        self.lapsed.add(&instance, now + retained_for);
        Applied::Lapsed {
            instance,
            retained_for,
        }
    }

    fn forget(&mut self, instance: String) -> Applied {
        self.lapsed.remove(&instance);
        self.upstreams.remove(&instance);
        Applied::Gone { instance }
    }
}
