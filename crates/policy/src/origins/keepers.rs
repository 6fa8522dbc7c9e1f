//! Choice of the agents that keep the copies of an origin.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// Copies of each origin.
pub const COPIES: usize = 3;

/// Agents that are asked for an origin.
pub const LOOKUPS: usize = 6;

/// Agents that keep copies in all. Bounds the connections of a gateway for it.
const MAX_KEEPERS: usize = 32;

/// Agents that keep copies, out of all.
#[must_use]
pub fn keepers(agents: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = agents.map(|a| (rank(&a.to_string()), a)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(MAX_KEEPERS);
    ranked.into_iter().map(|(_, a)| a).collect()
}

/// The same agents, in the order in which they keep the origin of the stream that `request` began.
#[must_use]
pub fn keepers_of(request: &str, keepers: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = keepers
        .iter()
        .map(|a| (rank(&format!("{request}@{a}")), *a))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, a)| a).collect()
}

fn rank(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
