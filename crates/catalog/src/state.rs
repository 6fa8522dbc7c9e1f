//! The state of a catalog: what is in force, as far as this process knows.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pumicecleat_types::{Millis, ServiceId};

use crate::lapsed::Lapsed;
use crate::newest_entries::Newest;
use crate::{Change, Layout, Standing, Upstream};

/// Time after an outage of the list within which an entry that lapsed may come back. The list
/// promises about two seconds; a little is added for the way.
const RETURN_SPAN: Millis = Millis(2_300);

/// What a process believes of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    layout: Option<Rc<Layout>>,
    versions: BTreeMap<String, u64>,
    upstreams: BTreeMap<String, Upstream>,
    newest: Newest,
    /// Instances whose entry lapsed around an outage.
    lapsed: Lapsed,
    /// End of the last outage of the list.
    returned: Option<Millis>,
    /// When the list last came back from an older copy.
    renewed: Option<Millis>,
}

/// What applying a change did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A configuration is in force.
    Layout {
        /// Its number.
        number: u64,
    },
    /// A configuration is older than the one in force and was not taken.
    Stale {
        /// Number of the one not taken.
        number: u64,
    },
    /// A newer version of an adapter is known.
    Version {
        /// Adapter.
        adapter: String,
        /// Version.
        version: u64,
    },
    /// An upstream is new, or stands otherwise.
    Upstream {
        /// Instance.
        instance: String,
        /// How it stands now.
        standing: Standing,
    },
    /// An upstream started again under its name: what was believed of it is void.
    Restarted {
        /// Instance.
        instance: String,
        /// How it stands now.
        standing: Standing,
    },
    /// An upstream is gone.
    Gone {
        /// Instance.
        instance: String,
    },
    /// An upstream's entry lapsed in an outage; it is kept until the time for its return is over.
    Lapsed {
        /// Instance.
        instance: String,
        /// Time for which it is kept.
        retained_for: Millis,
    },
    /// An entry is older than one that was read before, and was not taken.
    Outdated {
        /// Instance.
        instance: String,
    },
    /// Nothing changed.
    Unchanged,
}

impl Applied {
    /// Whether anything changed by it.
    #[must_use]
    pub fn is_change(&self) -> bool {
        !matches!(self, Self::Unchanged | Self::Outdated { .. })
    }
}

impl Catalog {
    /// Configuration in force, if one is known.
    #[must_use]
    pub fn layout(&self) -> Option<&Rc<Layout>> {
        self.layout.as_ref()
    }

    /// Newest version of an adapter, if one was declared.
    #[must_use]
    pub fn version(&self, adapter: &str) -> Option<u64> {
        self.versions.get(adapter).copied()
    }

    /// Upstream by instance.
    #[must_use]
    pub fn upstream(&self, instance: &str) -> Option<&Upstream> {
        self.upstreams.get(instance)
    }

    /// All upstreams listed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Upstreams of a service that take requests.
    pub fn ready_upstreams<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Upstream> {
        let ready = |u: &&Upstream| u.service == *service && u.standing == Standing::Ready;
        self.upstreams.values().filter(ready)
    }

    /// Takes a change in.
    pub fn apply(&mut self, change: Change, now: Millis) -> Applied {
        match change {
            Change::Layout(layout) => self.apply_layout(layout),
            Change::Version { adapter, version } => self.apply_version(adapter, version),
            Change::Upstream(upstream) => {
                // Own failed reads don't tell an outage of the list from a cut of this process; entries do.
                self.lapsed.written(&upstream.instance, now);
                self.apply_upstream(upstream, now)
            }
            Change::Gone { instance } => self.remove(instance, now),
            Change::Unusable { instance } => self.drop_unusable(instance),
            Change::Other => Applied::Unchanged,
        }
    }

    /// Takes the whole list of upstreams in; what is not in it is gone.
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

    /// The list answers again, since `at`: entries of upstreams that live may have lapsed meanwhile.
    pub fn note_list_recovery(&mut self, at: Millis) {
        self.returned = Some(at);
    }

    /// The list has come back from an older copy, at `at`: entries of upstreams that live may be missing
    /// until they write again.
    pub fn note_store_renewal(&mut self, at: Millis) {
        self.renewed = self.renewed.max(Some(at));
    }

    /// Removes what lapsed and will not come back.
    pub fn expire(&mut self, now: Millis) -> Vec<Applied> {
        self.newest.expire(now);
        let due = self.lapsed.due(now);
        due.into_iter().map(|i| self.leave(i, now)).collect()
    }

    fn apply_layout(&mut self, layout: Layout) -> Applied {
        let number = layout.number;
        match &self.layout {
            Some(held) if held.number > number => Applied::Stale { number },
            Some(held) if held.number == number => Applied::Unchanged,
            _ => {
                self.layout = Some(Rc::new(layout));
                Applied::Layout { number }
            }
        }
    }

    fn apply_version(&mut self, adapter: String, version: u64) -> Applied {
        let known = self.versions.entry(adapter.clone()).or_default();
        if *known >= version {
            return Applied::Unchanged;
        }
        *known = version;
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
            // Each start tells its time: this was written by somebody else.
            (Some(_), None) => return self.forget(instance),
            // Written by a start before the one that is known.
            (Some(known), Some(born)) if born < known => return Applied::Unchanged,
            _ => {}
        }
        self.lapsed.remove(&instance);
        self.newest.note(&upstream, now);
        match self.upstreams.insert(instance.clone(), upstream) {
            Some(before) if before.born.is_some() && before.born < born => {
                Applied::Restarted { instance, standing }
            }
            Some(before) if before.standing == standing => Applied::Unchanged,
            _ => Applied::Upstream { instance, standing },
        }
    }

    /// An entry that can't be read is not kept over an outage either: its writer was here.
    fn drop_unusable(&mut self, instance: String) -> Applied {
        if !self.upstreams.contains_key(&instance) {
            return Applied::Unchanged;
        }
        self.forget(instance)
    }

    fn remove(&mut self, instance: String, now: Millis) -> Applied {
        if !self.upstreams.contains_key(&instance) {
            return Applied::Unchanged;
        }
        match self.returned.max(self.renewed) {
            Some(at) if now.since(at) < RETURN_SPAN => {
                let retained_for = (at + RETURN_SPAN).since(now);
                self.lapse(instance, now, retained_for)
            }
            _ => self.leave(instance, now),
        }
    }

    fn leave(&mut self, instance: String, now: Millis) -> Applied {
        self.newest.removed(&instance, now);
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
