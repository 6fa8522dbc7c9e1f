//! Settings of the daemon.

use std::net::SocketAddr;

use pumicecleat_ops::{ByteSize, HumanDuration, MemoryLimit, settings};

settings! {
    /// Meets callers, chooses upstreams and answers for the whole answer.
    pub struct EntrySettings {
        /// address for callers
        listen: SocketAddr = "0.0.0.0:8080", "ip:port";
        /// address for sides and other entries
        peer_listen: SocketAddr = "0.0.0.0:8081", "ip:port";
        /// address by which others reach the peer listener, if it differs
        peer_address: Option<SocketAddr> = "", "ip:port";
        /// addresses of the log service
        log: String = "", "ip:port,...";
        /// addresses of the VM list; empty for none
        vms: Vec<SocketAddr> = "", "ip:port,...";
        /// peer addresses of other entries, for a start while the log is down
        peers: Vec<SocketAddr> = "", "ip:port,...";
        /// time that the log keeps records
        retention: HumanDuration = "48h", "span";
        /// weight store whose loads this entry orders
        store: String = "weights", "name";
        /// connections of callers at once
        connections: usize = "10000", "connections";
        /// longest time for a caller's body to arrive
        body_span: HumanDuration = "10s", "span";
        /// longest silence of an upstream within an answer
        stall: HumanDuration = "10s", "span";
        /// longest answer that is not streamed
        answer: ByteSize = "16MiB", "bytes";
        /// bytes a second that the reports of all sides may take together
        report_rate: ByteSize = "10KiB", "bytes/s";
        /// retries of refused requests, in percent of requests
        retries: u32 = "20", "percent";
        /// memory that the process may use, half of it for callers
        memory_limit: MemoryLimit = "1GiB", "bytes";
    }
}
