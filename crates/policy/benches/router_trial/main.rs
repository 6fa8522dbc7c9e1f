//! Simulates sites with the router over ten seeds: engines that freeze, with and without demotion
//! of stalled upstreams, and busy sites with different settings. Prints JSON lines.

mod engine;
mod site;
mod trial;

use pumicecleat_policy::RouterOptions;
use pumicecleat_types::Millis;
use serde_json::json;

use site::{LONG_FREEZE_MS, SHORT_FREEZES_MS, Site, Tally};
use trial::{HEADER_TIMEOUT_MS, run};

/// Seeds for each result.
const SEEDS: u64 = 10;

/// Site with few engines.
const SMALL: Site = Site {
    name: "small, frozen engine reports",
    entries: 3,
    engines: 9,
    loras: 80,
    requests_per_second: 10.0,
    load_ms: 500,
    frozen_engines: 1,
    freezes_ms: &LONG_FREEZE_MS,
    frozen_report: true,
};

/// Site with many engines and a faster store.
const LARGE: Site = Site {
    name: "large, ten frozen engines report",
    entries: 8,
    engines: 200,
    loras: 1_800,
    requests_per_second: 220.0,
    load_ms: 50,
    frozen_engines: 10,
    freezes_ms: &LONG_FREEZE_MS,
    frozen_report: true,
};

const SITES: [Site; 6] = [
    SMALL,
    Site {
        name: "small, frozen engine silent",
        frozen_report: false,
        ..SMALL
    },
    Site {
        name: "small, short freezes",
        freezes_ms: &SHORT_FREEZES_MS,
        ..SMALL
    },
    Site {
        name: "small, none frozen",
        frozen_engines: 0,
        ..SMALL
    },
    LARGE,
    Site {
        name: "large, none frozen",
        frozen_engines: 0,
        ..LARGE
    },
];

/// Busy sites without frozen engines, to compare settings.
const BUSY: [Site; 2] = [
    Site {
        name: "small, busy",
        frozen_engines: 0,
        requests_per_second: 18.0,
        ..SMALL
    },
    Site {
        name: "large, busy",
        frozen_engines: 0,
        requests_per_second: 450.0,
        ..LARGE
    },
];

fn main() {
    for site in SITES {
        for (way, options) in demotion_settings() {
            print_results("stall", site, way, options);
        }
    }
    for site in BUSY {
        for (way, options) in settings() {
            print_results("settings", site, way, options);
        }
    }
}

/// Settings to compare, with one changed at a time.
fn settings() -> [(&'static str, RouterOptions); 8] {
    let base = RouterOptions::default();
    let holders = |holders| RouterOptions {
        holder_candidates: holders,
        ..base
    };
    let homes = |homes| RouterOptions {
        home_candidates: homes,
        ..base
    };
    let spread = |ms| RouterOptions {
        copy_margin: Millis(ms),
        ..base
    };
    [
        ("as set", base),
        ("1 holder", holders(1)),
        ("4 holders", holders(4)),
        ("8 holders", holders(8)),
        ("2 homes", homes(2)),
        ("8 homes", homes(8)),
        ("new copy at no margin", spread(0)),
        ("new copy at 1 s margin", spread(1_000)),
    ]
}

/// Demotion settings to compare: none, one header timeout, and longer ones.
fn demotion_settings() -> [(&'static str, RouterOptions); 5] {
    let options_with = |demote: Option<u64>, most: u64, probe| RouterOptions {
        initial_demotion: demote.map(Millis),
        max_demotion: Millis(most),
        single_probe: probe,
        ..RouterOptions::default()
    };
    let max_demotion = 8 * HEADER_TIMEOUT_MS;
    [
        ("no demotion", options_with(None, HEADER_TIMEOUT_MS, false)),
        (
            "one header timeout",
            options_with(Some(HEADER_TIMEOUT_MS), HEADER_TIMEOUT_MS, false),
        ),
        (
            "eight header timeouts",
            options_with(Some(max_demotion), max_demotion, false),
        ),
        (
            "doubling up to eight",
            options_with(Some(HEADER_TIMEOUT_MS), max_demotion, false),
        ),
        (
            "doubling, one probe",
            options_with(Some(HEADER_TIMEOUT_MS), max_demotion, true),
        ),
    ]
}

fn print_results(bench: &str, site: Site, way: &str, options: RouterOptions) {
    let mut tallies: Vec<Tally> = (0..SEEDS).map(|seed| run(site, options, seed)).collect();
    for tally in &mut tallies {
        tally.waits_ms.sort_unstable();
    }
    let spread = |value: &dyn Fn(&Tally) -> u64| {
        let mut values: Vec<u64> = tallies.iter().map(value).collect();
        values.sort_unstable();
        let mean = values.iter().sum::<u64>() / SEEDS;
        json!({"mean": mean, "least": values[0], "most": values[values.len() - 1]})
    };
    println!(
        "{}",
        json!({"bench": bench, "site": site.name, "way": way, "seeds": SEEDS,
            "hits": spread(&|t| t.frozen_hits), "failed": spread(&|t| t.failed),
            "requests": spread(&|t| t.requests), "loads": spread(&|t| t.loads),
            "wait_p50_ms": spread(&|t| percentile(&t.waits_ms, 50)),
            "wait_p95_ms": spread(&|t| percentile(&t.waits_ms, 95)),
            "wait_p99_ms": spread(&|t| percentile(&t.waits_ms, 99))})
    );
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    sorted
        .get(sorted.len() * percent / 100)
        .copied()
        .unwrap_or(0)
}
