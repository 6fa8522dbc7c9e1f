//! Settings of the gateway.

use std::net::SocketAddr;

use pumicecleat_ops::{HumanDuration, MemoryLimit, settings};

settings! {
    /// Receives the requests of callers and forwards them to the upstreams of a deployment.
    pub struct GatewaySettings {
        /// address for requests of callers
        listen: SocketAddr = "0.0.0.0:8080", "ip:port";
        /// address for readiness checks
        ready_listen: SocketAddr = "0.0.0.0:8083", "ip:port";
        /// address of the deployment's log
        store: SocketAddr = "", "ip:port";
        /// port of the agent on an engine's VM
        agent_port: u16 = "8082", "port";
        /// maximum number of connections of callers
        connections: usize = "1500", "connections";
        /// repeated sends to a service over all gateways, per request
        repeat_ratio: f64 = "0.2", "fraction";
        /// additional repeated sends to a service within the window, over all gateways
        repeat_slack: f64 = "54", "sends";
        /// window over which repeated sends are counted
        repeat_window: HumanDuration = "10s", "span";
        /// minimum number of shares into which the slack is divided; the highest number of gateways that agents
        /// told since the start, if that is more
        gateways: u32 = "8", "parts";
        /// longest wait of a read of the log for a record
        store_wait: HumanDuration = "20s", "span";
        /// time within which a leaving upstream must get its last request
        leave_span: HumanDuration = "2s", "span";
        /// time within which a configuration must be in force
        apply_span: HumanDuration = "2s", "span";
        /// time within which a key that was taken away must be refused; 0 for no bound
        revoke_span: HumanDuration = "5s", "span";
        /// window over which the use of an account's allowance is counted
        allowance_window: HumanDuration = "8s", "span";
        /// part of an account's allowance by which it may be exceeded
        allowance_overage: f64 = "0", "fraction";
        /// units by which an account's allowance may be exceeded in addition
        allowance_slack: f64 = "0", "units";
        /// whether agents are told the accounts of requests, so that accounts share engines fairly
        account_shares: bool = "false", "true or false";
        /// maximum duration of a stop
        grace: HumanDuration = "8s", "span";
        /// maximum number of log lines per second; warnings and errors have a separate budget of the same
        /// size
        log_lines: u32 = "400", "lines/s";
        /// memory that the process may use, half of it for callers
        memory_limit: MemoryLimit = "120MiB", "bytes";
    }
}
