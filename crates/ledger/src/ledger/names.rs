//! One copy of each name that many marks hold: of VMs and of callers.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use pumicecleat_types::{CallerId, VmId};

use crate::{Attempt, Key, Owner};

/// Names seen so far. There are as many as VMs and callers, so that none is forgotten.
#[derive(Clone, Debug, Default)]
pub(super) struct Names {
    vms: BTreeSet<VmId>,
    callers: BTreeSet<CallerId>,
}

impl Names {
    /// The same attempt, with the copy of its VM's name that the others hold.
    pub(super) fn attempt(&mut self, attempt: &Attempt) -> Attempt {
        let owner = Owner {
            vm: shared(&mut self.vms, &attempt.owner.vm),
            incarnation: attempt.owner.incarnation,
        };
        let seq = attempt.seq;
        Attempt { owner, seq }
    }

    /// The same key, with the copy of its caller's name that the others hold.
    pub(super) fn key(&mut self, key: &Key) -> Key {
        key.with_caller(shared(&mut self.callers, key.caller()))
    }
}

fn shared<T: Clone + Ord>(known: &mut BTreeSet<T>, name: &T) -> T {
    if let Some(copy) = known.get(name) {
        return copy.clone();
    }
    known.insert(name.clone());
    name.clone()
}

// Copies are no state: books that hold the same marks are the same.
impl PartialEq for Names {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Names {}

impl Hash for Names {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}
