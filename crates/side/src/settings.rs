//! Settings of a side.

use std::net::SocketAddr;

use pumicecleat_ops::{HumanDuration, MemoryLimit, settings};
use pumicecleat_types::PoolId;

settings! {
    /// Serves one upstream: its orders, queue and residency. Runs beside it on the same VM.
    pub struct SideSettings {
        /// address of the listener for entries
        listen: SocketAddr = "127.0.0.1:7601", "ip:port";
        /// address at which entries reach this side; empty for the listener's
        advertise: Option<SocketAddr> = "", "ip:port";
        /// loopback address held as this VM's slot; port 0 for none
        slot: SocketAddr = "127.0.0.1:7602", "ip:port";
        /// pool that this upstream belongs to
        pool: PoolId = "", "name";
        /// address of the upstream
        upstream: SocketAddr = "", "ip:port";
        /// addresses of the log service, for pools of plain services
        log: Vec<SocketAddr> = "", "ip:port,...";
        /// addresses of the VM list; empty to use the entries setting alone
        vms: Vec<SocketAddr> = "", "ip:port,...";
        /// addresses of entries known from the start
        entries: Vec<SocketAddr> = "", "ip:port,...";
        /// time the log keeps records; must be longer than the window of keys
        retention: HumanDuration = "48h", "span";
        /// appends a second that the sides of one service make together at most
        log_rate: u32 = "320", "appends";
        /// time without calls after which a part of a service's keys is read no more
        key_idle: HumanDuration = "60s", "span";
        /// longest time between two pieces of an engine's answer
        stall: HumanDuration = "5s", "span";
        /// longest time of one load
        load_limit: HumanDuration = "60s", "span";
        /// longest time by which the engine's load figures lag; a new side evicts nothing before
        metrics_lag: HumanDuration = "2s", "span";
        /// memory that the process may use, half of it for callers
        memory_limit: MemoryLimit = "1GiB", "bytes";
    }
}
