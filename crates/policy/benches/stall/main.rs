//! Trial of the router's settings: engines that freeze, with and without the demotion of stalled
//! upstreams, over ten seeds. Prints JSON lines.

mod engine;
mod trial;

use pumicecleat_policy::RouterOptions;
use pumicecleat_types::Millis;
use serde_json::json;

use trial::{HEADER, Site, Tally, run};

const SEEDS: u64 = 10;

/// A site of today's size, and a larger one.
const SITES: [Site; 5] = [
    Site {
        name: "small, frozen engine reports",
        entries: 3,
        engines: 9,
        loras: 80,
        rate: 10.0,
        load: 500,
        frozen: 1,
        reports: true,
    },
    Site {
        name: "small, frozen engine silent",
        entries: 3,
        engines: 9,
        loras: 80,
        rate: 10.0,
        load: 500,
        frozen: 1,
        reports: false,
    },
    Site {
        name: "large, ten frozen engines report",
        entries: 8,
        engines: 200,
        loras: 1_800,
        rate: 220.0,
        load: 50,
        frozen: 10,
        reports: true,
    },
    Site {
        name: "small, none frozen",
        entries: 3,
        engines: 9,
        loras: 80,
        rate: 10.0,
        load: 500,
        frozen: 0,
        reports: true,
    },
    Site {
        name: "large, none frozen",
        entries: 8,
        engines: 200,
        loras: 1_800,
        rate: 220.0,
        load: 50,
        frozen: 0,
        reports: true,
    },
];

fn main() {
    let base = RouterOptions::default();
    let off = RouterOptions {
        demote: None,
        ..base
    };
    let on = |span| RouterOptions {
        demote: Some(Millis(span)),
        ..base
    };
    for site in SITES {
        print(site, "no demotion", off);
        print(site, "one header timeout", on(HEADER));
        print(site, "four header timeouts", on(4 * HEADER));
    }
}

fn print(site: Site, way: &str, options: RouterOptions) {
    let mut tallies: Vec<Tally> = (0..SEEDS).map(|seed| run(site, options, seed)).collect();
    for tally in &mut tallies {
        tally.waits.sort_unstable();
    }
    let spread = |figure: &dyn Fn(&Tally) -> u64| {
        let mut all: Vec<u64> = tallies.iter().map(figure).collect();
        all.sort_unstable();
        let mean = all.iter().sum::<u64>() / SEEDS;
        json!({"mean": mean, "least": all[0], "most": all[all.len() - 1]})
    };
    println!(
        "{}",
        json!({"bench": "stall", "site": site.name, "way": way, "seeds": SEEDS,
            "hits": spread(&|t| t.hits), "failed": spread(&|t| t.failed),
            "requests": spread(&|t| t.requests), "loads": spread(&|t| t.loads),
            "wait_p50_ms": spread(&|t| quantile(&t.waits, 50)),
            "wait_p95_ms": spread(&|t| quantile(&t.waits, 95)),
            "wait_p99_ms": spread(&|t| quantile(&t.waits, 99))})
    );
}

fn quantile(sorted: &[u64], percent: usize) -> u64 {
    sorted
        .get(sorted.len() * percent / 100)
        .copied()
        .unwrap_or(0)
}
