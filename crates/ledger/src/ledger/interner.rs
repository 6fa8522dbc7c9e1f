//! Interned VM and caller names, of which many entries hold the same ones.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use pumicecleat_types::{CallerId, VmId};

use crate::{Attempt, Key, Owner};

/// Names seen so far. Their number is bounded by that of VMs and callers, so none is removed.
#[derive(Clone, Debug, Default)]
pub(super) struct Interner {
    vms: BTreeSet<VmId>,
    callers: BTreeSet<CallerId>,
}

impl Interner {
    /// The same attempt, with the shared copy of its VM's name.
    pub(super) fn attempt(&mut self, attempt: &Attempt) -> Attempt {
        let owner = Owner {
            vm: intern(&mut self.vms, &attempt.owner.vm),
            incarnation: attempt.owner.incarnation,
        };
        let seq = attempt.seq;
        Attempt { owner, seq }
    }

    /// The same key, with the shared copy of its caller's name.
    pub(super) fn key(&mut self, key: &Key) -> Key {
        key.with_caller(intern(&mut self.callers, key.caller()))
    }
}

fn intern<T: Clone + Ord>(known: &mut BTreeSet<T>, name: &T) -> T {
    if let Some(copy) = known.get(name) {
        return copy.clone();
    }
    known.insert(name.clone());
    name.clone()
}

// Interned names are not state: tables with the same entries are equal.
impl PartialEq for Interner {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Interner {}

impl Hash for Interner {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}
