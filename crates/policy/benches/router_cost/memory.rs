//! Memory of a router, measured as the growth of the process's resident set.

use std::fs;

use pumicecleat_policy::{LoraIx, Router, RouterOptions};
use serde_json::json;

use crate::fleet::{FleetSize, router};

/// Routers built for each size, so that page granularity and reuse of freed memory matter little.
const ROUTERS: u32 = 4;

/// Size of a page, bytes.
const PAGE_BYTES: u64 = 4_096;

/// Fleet sizes to measure.
const SIZES: [FleetSize; 3] = [
    FleetSize {
        upstreams: 975,
        loras: 24_000,
    },
    FleetSize {
        upstreams: 7_800,
        loras: 3_000,
    },
    FleetSize {
        upstreams: 7_800,
        loras: 24_000,
    },
];

/// Runs all measurements.
pub fn run() {
    let mut routers = Vec::new();
    for size in SIZES {
        let before = resident_bytes();
        routers.extend((0..ROUTERS).map(|_| keyed_router(size)));
        let grown = resident_bytes().saturating_sub(before) / u64::from(ROUTERS);
        println!(
            "{}",
            json!({"bench": "memory", "upstreams": size.upstreams, "adapters": size.loras,
                "bytes": grown, "bytes_an_upstream": grown / u64::from(size.upstreams)})
        );
    }
}

/// Router with a key for every adapter.
fn keyed_router(size: FleetSize) -> Router {
    let mut router = router(size, RouterOptions::default());
    (0..size.loras).for_each(|l| router.set_lora_key(LoraIx(l), u64::from(l) + 1));
    router
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
