//! Homes of adapters: lookup time, how evenly they are spread over upstreams, and how many differ
//! between entries that know different upstreams.

use std::hint::black_box;

use pumicecleat_policy::{LoraIx, Router, RouterOptions, UpstreamIx, upstream_key};
use pumicecleat_types::{Millis, VmId};
use serde_json::json;

use crate::clock::measure;
use crate::fleet::{FleetSize, POOL, figures, rng};
use crate::groups::Groups;

/// Largest fleet that the router is designed for.
const SIZE: FleetSize = FleetSize {
    upstreams: 7_800,
    loras: 24_000,
};

/// Number of adapters whose homes are counted for the spread.
const SPREAD_LORAS: u32 = 24_000 * 10;

/// One upstream in this many is unknown at each of two entries, a different one at each.
const MISSING_INTERVAL: usize = 100;

/// Homes looked up per adapter with groups.
const HOMES_PER_LORA: usize = 4;

/// Ring points per upstream and homes per lookup to compare.
const RING_SETTINGS: [(u64, usize); 6] = [(1, 4), (8, 1), (8, 2), (8, 4), (8, 8), (32, 4)];

/// Counts of groups to compare; one group is plain rendezvous hashing, which finds one home.
const GROUP_COUNTS: [usize; 3] = [1, 88, 340];

/// Runs all measurements.
pub fn run() {
    for (points, homes) in RING_SETTINGS {
        run_ring(points, homes);
    }
    for count in GROUP_COUNTS {
        run_groups(count);
    }
}

fn run_ring(points: u64, homes: usize) {
    let options = RouterOptions {
        ring_points: points,
        home_candidates: homes,
        ..RouterOptions::default()
    };
    let complete = full_router(options);
    let (mut one, mut other) = (complete.clone(), complete.clone());
    missing(0).for_each(|up| one.forget(UpstreamIx(up)));
    missing(1).for_each(|up| other.forget(UpstreamIx(up)));
    let home = |r: &Router, lora: u32| r.homes(POOL, LoraIx(lora)).first().map_or(0, |u| u.0);
    let t = measure(|n| {
        black_box(complete.homes(POOL, LoraIx(n)));
    });
    let way = format!("ring, {points} points, {homes} probes");
    let counts = spread(|l| home(&complete, l));
    let differ = differ(|l| home(&one, l), |l| home(&other, l));
    print(&way, t.median, &counts, differ);
}

/// Router that knows every upstream, with no adapter resident.
fn full_router(options: RouterOptions) -> Router {
    let mut router = Router::new_ext(options);
    let figures = figures(&mut rng(1));
    for up in (0..SIZE.upstreams).map(UpstreamIx) {
        router.set_upstream_key(up, key(up.0));
        router.report(up, POOL, &figures, Some(&[]), None, Millis(0));
    }
    router
}

fn key(up: u32) -> u64 {
    upstream_key(&VmId::from(format!("vm-{up}")))
}

/// Upstreams that are unknown at one of the two entries.
fn missing(entry: usize) -> impl Iterator<Item = u32> {
    (0..SIZE.upstreams).skip(entry).step_by(MISSING_INTERVAL)
}

fn run_groups(count: usize) {
    let keys: Vec<u64> = (0..SIZE.upstreams).map(key).collect();
    let incomplete = |entry: usize| {
        let missing_keys: Vec<u64> = missing(entry).map(key).collect();
        let known_keys = keys.iter().copied().filter(|k| !missing_keys.contains(k));
        Groups::new(&known_keys.collect::<Vec<_>>(), count)
    };
    let (complete, one, other) = (Groups::new(&keys, count), incomplete(0), incomplete(1));
    let mut order: Vec<(u64, u32)> = keys.iter().copied().zip(0..).collect();
    order.sort_unstable();
    let ix = |key: u64| order[order.partition_point(|o| o.0 < key)].1;
    let home = |g: &Groups, lora: u32| ix(g.homes(u64::from(lora), HOMES_PER_LORA)[0]);
    let t = measure(|n| {
        black_box(complete.homes(u64::from(n), HOMES_PER_LORA));
    });
    let way = format!("rendezvous, {count} groups");
    let counts = spread(|l| home(&complete, l));
    let differ = differ(|l| home(&one, l), |l| home(&other, l));
    print(&way, t.median, &counts, differ);
}

/// Number of adapters whose home is each upstream, in ascending order.
fn spread(home: impl Fn(u32) -> u32) -> Vec<u32> {
    let mut counts = vec![0_u32; SIZE.upstreams as usize];
    (0..SPREAD_LORAS).for_each(|l| counts[home(l) as usize] += 1);
    counts.sort_unstable();
    counts
}

/// Number of adapters whose home differs between two entries.
fn differ(one: impl Fn(u32) -> u32, other: impl Fn(u32) -> u32) -> usize {
    (0..SIZE.loras).filter(|&l| one(l) != other(l)).count()
}

fn print(way: &str, ns: f64, counts: &[u32], differ: usize) {
    let mean = f64::from(SPREAD_LORAS) / f64::from(SIZE.upstreams);
    println!(
        "{}",
        json!({"bench": "homes", "way": way, "median_ns": ns.round(),
            "p99_over_mean": f64::from(counts[counts.len() * 99 / 100]) / mean,
            "most_over_mean": f64::from(counts[counts.len() - 1]) / mean,
            "adapters": SIZE.loras, "home_differs": differ})
    );
}
