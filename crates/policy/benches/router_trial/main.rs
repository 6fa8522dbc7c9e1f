//! Trial of the router over ten seeds: engines that freeze, with and without the demotion of stalled
//! upstreams, and busy sites under other settings. Prints JSON lines.

mod engine;
mod site;
mod trial;

use pumicecleat_policy::RouterOptions;
use pumicecleat_types::Millis;
use serde_json::json;

use site::{LONG, SHORT, Site, Tally};
use trial::{HEADER, run};

/// Seeds of each figure.
const SEEDS: u64 = 10;

/// A site of today's size.
const SMALL: Site = Site {
    name: "small, frozen engine reports",
    entries: 3,
    engines: 9,
    loras: 80,
    rate: 10.0,
    load: 500,
    frozen: 1,
    freezes: &LONG,
    reports: true,
};

/// A larger site, with a faster store.
const LARGE: Site = Site {
    name: "large, ten frozen engines report",
    entries: 8,
    engines: 200,
    loras: 1_800,
    rate: 220.0,
    load: 50,
    frozen: 10,
    freezes: &LONG,
    reports: true,
};

const SITES: [Site; 6] = [
    SMALL,
    Site {
        name: "small, frozen engine silent",
        reports: false,
        ..SMALL
    },
    Site {
        name: "small, short freezes",
        freezes: &SHORT,
        ..SMALL
    },
    Site {
        name: "small, none frozen",
        frozen: 0,
        ..SMALL
    },
    LARGE,
    Site {
        name: "large, none frozen",
        frozen: 0,
        ..LARGE
    },
];

/// Busy sites without a fault, for the settings.
const BUSY: [Site; 2] = [
    Site {
        name: "small, busy",
        frozen: 0,
        rate: 18.0,
        ..SMALL
    },
    Site {
        name: "large, busy",
        frozen: 0,
        rate: 450.0,
        ..LARGE
    },
];

fn main() {
    for site in SITES {
        for (way, options) in demotions() {
            print("stall", site, way, options);
        }
    }
    for site in BUSY {
        for (way, options) in settings() {
            print("settings", site, way, options);
        }
    }
}

/// One setting changed at a time.
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

/// No demotion, the rule of one header timeout, and what was tried beyond it.
fn demotions() -> [(&'static str, RouterOptions); 5] {
    let demoted = |demote: Option<u64>, most: u64, probe| RouterOptions {
        initial_demotion: demote.map(Millis),
        max_demotion: Millis(most),
        single_probe: probe,
        ..RouterOptions::default()
    };
    let long = 8 * HEADER;
    [
        ("no demotion", demoted(None, HEADER, false)),
        ("one header timeout", demoted(Some(HEADER), HEADER, false)),
        ("eight header timeouts", demoted(Some(long), long, false)),
        ("doubling up to eight", demoted(Some(HEADER), long, false)),
        ("doubling, one probe", demoted(Some(HEADER), long, true)),
    ]
}

fn print(bench: &str, site: Site, way: &str, options: RouterOptions) {
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
        json!({"bench": bench, "site": site.name, "way": way, "seeds": SEEDS,
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
