//! Memory of a router, from the growth of the process's resident set.

use std::fs;

use pumicecleat_policy::{LoraIx, Router, RouterOptions};
use serde_json::json;

use crate::fleet::{Size, router};

/// Routers built, so that pages and reuse weigh little.
const COPIES: u32 = 4;

/// Bytes of a page.
const PAGE: u64 = 4_096;

/// Sizes measured.
const SIZES: [Size; 3] = [
    Size {
        upstreams: 975,
        loras: 24_000,
    },
    Size {
        upstreams: 7_800,
        loras: 3_000,
    },
    Size {
        upstreams: 7_800,
        loras: 24_000,
    },
];

/// Runs all.
pub fn run() {
    let mut kept = Vec::new();
    for size in SIZES {
        let before = resident_bytes();
        kept.extend((0..COPIES).map(|_| full(size)));
        let grown = resident_bytes().saturating_sub(before) / u64::from(COPIES);
        println!(
            "{}",
            json!({"bench": "memory", "upstreams": size.upstreams, "adapters": size.loras,
                "bytes": grown, "bytes_an_upstream": grown / u64::from(size.upstreams)})
        );
    }
}

/// Router with names.
fn full(size: Size) -> Router {
    let mut router = router(size, RouterOptions::default());
    (0..size.loras).for_each(|l| router.set_lora_key(LoraIx(l), u64::from(l) + 1));
    router
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE
}
