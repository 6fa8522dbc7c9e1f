//! Settings of the agent.

use std::net::SocketAddr;

use pumicecleat_ops::{HumanDuration, MemoryLimit, settings};
use pumicecleat_types::ServiceId;

settings! {
    /// Gives orders to the engine on its VM and turns to its requests.
    pub struct AgentSettings {
        /// address for entries
        peer_listen: SocketAddr = "0.0.0.0:8082", "ip:port";
        /// address of the engine
        engine: SocketAddr = "", "ip:port";
        /// service of the engine
        service: ServiceId = "", "name";
        /// address of the deployment's log
        store: SocketAddr = "", "ip:port";
        /// time between two reports of the engine
        report_pause: HumanDuration = "100ms", "span";
        /// longest wait of a read of the log for a record
        store_wait: HumanDuration = "25s", "span";
        /// time within which a leaving upstream must get its last request
        leave_span: HumanDuration = "2s", "span";
        /// time within which a configuration must be in force
        apply_span: HumanDuration = "2s", "span";
        /// part of a stream's longest pause after which further prompts are held back; 0 for never
        pause_guard: f64 = "0", "fraction";
        /// smallest number of loads from the weight store at a time; below 1, loads are spaced in time
        min_loads: f64 = "2", "loads";
        /// whether accounts share the engine fairly when not all requests can be in time; needs gateways that
        /// name them
        account_shares: bool = "false", "true or false";
        /// whether callers over an allowance are told times that are spread over the units that become available
        return_times: bool = "false", "true or false";
        /// lines logged in a second at most; warnings and errors may take as many again
        log_lines: u32 = "400", "lines/s";
        /// memory that the process may use, half of it for callers
        memory_limit: MemoryLimit = "120MiB", "bytes";
    }
}
