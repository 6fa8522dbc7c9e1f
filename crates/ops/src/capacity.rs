//! What the machine gives a process, and the part of it that callers may take.

use pumicecleat_net::{MemoryBudget, MemoryLimits, ServerOptions, Timer};
use rustix::process::{Resource, getrlimit};

use crate::{CommonSettings, MemoryLimit};

/// Part of the memory that may be held for callers. The process itself needs the rest.
const CALLERS_PART: u64 = 2;

/// Descriptors that are left for files, for calls of the process itself and for its other listeners.
const OWN_DESCRIPTORS: usize = 264;

/// Connections of a listener that only operators and the platform use.
const OPERATOR_CONNECTIONS: usize = 64;

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory, bytes.
    pub memory: u64,
    /// Descriptors.
    pub descriptors: usize,
}

impl Capacity {
    /// Capacity with this memory, and with the descriptors that `settings` tell or else the system.
    #[must_use]
    pub fn new_ext(memory: MemoryLimit, settings: &CommonSettings) -> Self {
        let descriptors = settings.descriptor_limit.map(|limit| limit.0);
        Self {
            memory: memory.0,
            descriptors: descriptors.unwrap_or_else(own_descriptors),
        }
    }

    /// Budget of what is held for callers.
    #[must_use]
    pub fn budget(&self, timer: &Timer) -> MemoryBudget {
        let limits = MemoryLimits {
            capacity: self.memory / CALLERS_PART,
        };
        MemoryBudget::new_ext(limits, timer)
    }

    /// Most connections of callers whose requests each need a connection to an upstream, and beside which a quarter as
    /// many may be on their way out.
    #[must_use]
    pub fn forwarded_connections(&self) -> usize {
        self.usable() * 4 / 9
    }

    /// Most connections of callers whose requests need no other one, beside which a quarter as many may be on their way
    /// out.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.usable() * 4 / 5
    }

    fn usable(&self) -> usize {
        self.descriptors.saturating_sub(OWN_DESCRIPTORS)
    }
}

/// Options of a listener that only operators and the platform use.
#[must_use]
pub fn operator_options() -> ServerOptions {
    ServerOptions {
        connections: OPERATOR_CONNECTIONS,
        ..ServerOptions::default()
    }
}

/// Descriptors that this process may have.
fn own_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}
