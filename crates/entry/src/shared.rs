//! What the parts of one entry share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::Log as LogService;
use pumicecleat_net::{Client, Timer, Turns};
use pumicecleat_ops::{Drain, Log, Readiness, Stop};
use pumicecleat_policy::{LoadOrder, RetryBudget};
use pumicecleat_types::{RegionId, VmId};

use crate::config::Configuration;
use crate::directory::Directory;
use crate::meters::Meters;

/// Settings as the parts need them.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) vm: VmId,
    pub(crate) region: RegionId,
    /// Addresses of the log, for events.
    pub(crate) log_addresses: String,
    /// Addresses of the VM list, for events.
    pub(crate) vm_list_addresses: String,
    /// Peer addresses of other entries, from settings.
    pub(crate) entry_addresses: Vec<SocketAddr>,
    /// Own peer address.
    pub(crate) own_address: SocketAddr,
    pub(crate) weight_store: String,
    pub(crate) retention_ms: u64,
    pub(crate) body_timeout: Duration,
    pub(crate) stall_timeout: Duration,
    /// Longest whole answer, bytes.
    pub(crate) max_answer_bytes: usize,
    /// Bytes a second of all reports.
    pub(crate) report_bytes_per_s: u64,
}

/// What the parts of one entry share.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) timer: Timer,
    /// For pieces of streams under way, which let new requests and first pieces go before.
    pub(crate) turns: Turns,
    /// For other entries.
    pub(crate) entry_client: Client,
    /// For attempts at sides: all at one side share a connection.
    pub(crate) side_client: Client,
    pub(crate) log: Log,
    pub(crate) log_service: Rc<dyn LogService>,
    pub(crate) config: Configuration,
    pub(crate) directory: RefCell<Directory>,
    /// Attempts after refusals: few, as refusals come with overload.
    pub(crate) refusal_budget: RefCell<RetryBudget>,
    /// Attempts after losses: more, as an upstream that dies takes many requests with it.
    pub(crate) loss_budget: RefCell<RetryBudget>,
    pub(crate) load_order: RefCell<LoadOrder>,
    pub(crate) readiness: Readiness,
    pub(crate) drain: Drain,
    pub(crate) stop: Stop,
    pub(crate) meters: Meters,
    /// The VM list says that this VM leaves.
    pub(crate) leaving: Cell<bool>,
    /// Peers that did not answer last time.
    pub(crate) unreachable_peers: RefCell<BTreeSet<String>>,
    /// Peer to ask next.
    pub(crate) next_peer: Cell<usize>,
}

impl Shared {
    /// At most `count` peer addresses of other entries, others at each call.
    pub(crate) fn next_peers(&self, count: usize) -> Vec<String> {
        let own = self.options.own_address.to_string();
        let settled = self
            .options
            .entry_addresses
            .iter()
            .map(SocketAddr::to_string);
        let mut peers: Vec<String> = settled.collect();
        peers.extend(self.directory.borrow().entry_addresses());
        peers.retain(|p| *p != own);
        peers.sort_unstable();
        peers.dedup();
        if peers.is_empty() {
            return peers;
        }
        let turn = self.next_peer.get();
        self.next_peer.set(turn.wrapping_add(1));
        let first = turn % peers.len();
        peers.rotate_left(first);
        peers.truncate(count);
        peers
    }
}
