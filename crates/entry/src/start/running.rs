//! A running entry and its shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::Server;
use pumicecleat_ops::{DrainOutcome, events, field};

use crate::shared::Shared;

/// Readiness condition that fails when the entry stops.
pub(super) const RUNNING_CONDITION: &str = "running";

/// Maximum time for flushing the last bytes of completed answers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Addresses on which a running entry listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For sides and other entries.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

pub(super) struct Servers {
    pub(super) callers: Server,
    pub(super) peers: Server,
    pub(super) admin: Server,
}

/// A running entry.
pub struct Entry {
    shared: Rc<Shared>,
    addresses: Addresses,
    servers: Servers,
    drain_limit: Duration,
}

impl Entry {
    pub(super) fn new(
        shared: Rc<Shared>,
        addresses: Addresses,
        servers: Servers,
        drain_limit: Duration,
    ) -> Self {
        shared.readiness.set_met(RUNNING_CONDITION);
        Self {
            shared,
            addresses,
            servers,
            drain_limit,
        }
    }

    /// Addresses on which it listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Whether it takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.readiness.is_ready() && !self.shared.stop.is_requested()
    }

    /// Revision of the configuration in force, 0 for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.config.revision()
    }

    /// Serves until a stop is requested and all requests in progress have ended. A second stop
    /// request or the drain limit ends it earlier.
    pub async fn run(self) -> DrainOutcome {
        self.shared.stop.requested().await;
        let source = if self.shared.leaving.get() {
            "VM list"
        } else {
            "signal"
        };
        let fields = [field("source", source)];
        self.shared.log.emit(&events::STOP_ASKED, &fields);
        self.shared
            .readiness
            .set_unmet(RUNNING_CONDITION, "stopping");
        let drain = &self.shared.drain;
        let end = drain
            .finish(
                &self.shared.stop,
                self.drain_limit,
                &self.shared.timer,
                &self.shared.log,
            )
            .await;
        self.servers.callers.stop();
        // The last bytes of completed answers may not have been written to the sockets yet.
        let closed = self.servers.callers.closed();
        let _ = self.shared.timer.within(FLUSH_TIMEOUT, closed).await;
        self.servers.peers.stop();
        self.servers.admin.stop();
        end
    }

    /// Logs the end of the process.
    pub fn log_end(log: &pumicecleat_ops::Log, end: &DrainOutcome) {
        let fields = [
            field("cut", end.aborted().len()),
            field("dropped_lines", log.dropped()),
        ];
        log.emit_and_flush(&events::STOPPED, &fields);
    }
}
