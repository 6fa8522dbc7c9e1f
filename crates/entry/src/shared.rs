//! State shared by the components of an entry.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::Log as LogService;
use pumicecleat_net::{Client, MemoryBudget, Timer, Turns};
use pumicecleat_ops::{Drain, Log, Readiness, Stop};
use pumicecleat_policy::{LoadOrder, RetryBudget};
use pumicecleat_types::{RegionId, VmId};

use crate::config::Configuration;
use crate::directory::Directory;
use crate::meters::Meters;

/// Options derived from the settings.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) vm: VmId,
    pub(crate) region: RegionId,
    /// Addresses of the log service, for log events.
    pub(crate) log_addresses: String,
    /// Addresses of the VM list, for log events.
    pub(crate) vm_list_addresses: String,
    /// Peer addresses of other entries from the settings.
    pub(crate) entry_addresses: Vec<SocketAddr>,
    /// Peer address of this entry.
    pub(crate) own_address: SocketAddr,
    pub(crate) weight_store: String,
    pub(crate) retention_ms: u64,
    pub(crate) body_timeout: Duration,
    pub(crate) stall_timeout: Duration,
    /// Maximum size of an answer that is not streamed.
    pub(crate) max_answer_bytes: usize,
    /// Maximum rate of the reports of all sides together.
    pub(crate) report_bytes_per_s: u64,
}

/// State shared by the components of an entry.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) timer: Timer,
    /// Memory that is held for callers.
    pub(crate) budget: MemoryBudget,
    /// Turns for pieces of open streams, so that new requests and first pieces take precedence.
    pub(crate) turns: Turns,
    /// Client for other entries.
    pub(crate) entry_client: Client,
    /// Client for sides. All attempts at one side share a connection.
    pub(crate) side_client: Client,
    pub(crate) log: Log,
    pub(crate) log_service: Rc<dyn LogService>,
    pub(crate) config: Configuration,
    pub(crate) directory: RefCell<Directory>,
    /// Budget for retries of refused attempts. Small, because refusals occur under overload.
    pub(crate) refusal_budget: RefCell<RetryBudget>,
    /// Budget for retries of lost attempts. Larger, because a failing upstream loses many requests
    /// at once.
    pub(crate) loss_budget: RefCell<RetryBudget>,
    pub(crate) load_order: RefCell<LoadOrder>,
    pub(crate) readiness: Readiness,
    pub(crate) drain: Drain,
    pub(crate) stop: Stop,
    pub(crate) meters: Meters,
    /// Whether the VM list marks this VM as leaving.
    pub(crate) leaving: Cell<bool>,
    /// Peers that did not reply to the last request.
    pub(crate) unreachable_peers: RefCell<BTreeSet<String>>,
    /// Number of calls of [`Self::next_peers`], by which the peers are rotated.
    pub(crate) peer_rotation: Cell<usize>,
}

impl Shared {
    /// At most `count` peer addresses of other entries, starting with a different one at each call.
    pub(crate) fn next_peers(&self, count: usize) -> Vec<String> {
        let own_address = self.options.own_address.to_string();
        let from_settings = self
            .options
            .entry_addresses
            .iter()
            .map(SocketAddr::to_string);
        let mut peers: Vec<String> = from_settings.collect();
        peers.extend(self.directory.borrow().entry_addresses());
        peers.retain(|p| *p != own_address);
        peers.sort_unstable();
        peers.dedup();
        if peers.is_empty() {
            return peers;
        }
        let rotation = self.peer_rotation.get();
        self.peer_rotation.set(rotation.wrapping_add(1));
        let first = rotation % peers.len();
        peers.rotate_left(first);
        peers.truncate(count);
        peers
    }
}
