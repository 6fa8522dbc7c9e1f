//! Settings of the gateway.

use std::net::SocketAddr;

use pumicecleat_ops::{Span, settings};

settings! {
    /// Meets callers of a deployment and passes their requests to its upstreams.
    pub struct GatewaySettings {
        /// address for callers
        listen: SocketAddr = "0.0.0.0:8080", "ip:port";
        /// address at which readiness is asked for
        ready_listen: SocketAddr = "0.0.0.0:8083", "ip:port";
        /// address of the deployment's log
        store: SocketAddr = "", "ip:port";
        /// port of the agent on an engine's VM
        agent_port: u16 = "8082", "port";
        /// connections of callers at once
        connections: usize = "1500", "connections";
        /// repeated sends to a service over all gateways, in percent of its requests
        repeat_percent: u32 = "20", "percent";
        /// repeated sends to a service beside those, over all gateways
        repeat_slack: f64 = "54", "sends";
        /// time over which repeated sends are counted
        repeat_window: Span = "10s", "span";
        /// parts into which the slack is cut at least; two for each gateway that agents know of, if that is more
        gateways: u32 = "8", "parts";
        /// longest wait of a read of the log for a record
        store_wait: Span = "20s", "span";
        /// time within which a leaving upstream must get its last request
        leave_span: Span = "2s", "span";
        /// time within which a configuration must be in force
        apply_span: Span = "2s", "span";
        /// time that a stop may take in all
        grace: Span = "8s", "span";
        /// lines logged in a second at most; warnings and errors may take as many again
        log_lines: u32 = "400", "lines/s";
    }
}
