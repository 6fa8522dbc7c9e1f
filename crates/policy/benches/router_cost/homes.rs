//! Homes: their cost, how evenly they are spread, and how far entries agree that know different
//! upstreams.

use std::hint::black_box;

use pumicecleat_policy::{LoraIx, Router, RouterOptions, UpstreamIx, upstream_key};
use pumicecleat_types::{Millis, VmId};
use serde_json::json;

use crate::clock::time;
use crate::fleet::{POOL, Size, figures, rng};
use crate::groups::Groups;

/// Fleet at the size to design for.
const SIZE: Size = Size {
    upstreams: 7_800,
    loras: 24_000,
};

/// Adapters whose homes are counted for the spread.
const SPREAD: u32 = 24_000 * 10;

/// One upstream in this many is missing at each of two entries, another one at each.
const MISSING: usize = 100;

/// Homes looked up in groups.
const HOMES: usize = 4;

/// Points and probes tried.
const RINGS: [(u64, usize); 6] = [(1, 4), (8, 1), (8, 2), (8, 4), (8, 8), (32, 4)];

/// Counts of groups tried; one group is plain rendezvous hashing, with its one best home.
const GROUPS: [usize; 3] = [1, 88, 340];

/// Runs all.
pub fn run() {
    for (points, homes) in RINGS {
        ring(points, homes);
    }
    for count in GROUPS {
        grouped(count);
    }
}

fn ring(points: u64, homes: usize) {
    let options = RouterOptions {
        ring_points: points,
        home_candidates: homes,
        ..RouterOptions::default()
    };
    let whole = named(options);
    let (mut one, mut other) = (whole.clone(), whole.clone());
    missing(0).for_each(|up| one.forget(UpstreamIx(up)));
    missing(1).for_each(|up| other.forget(UpstreamIx(up)));
    let home = |r: &Router, lora: u32| r.homes(POOL, LoraIx(lora)).first().map_or(0, |u| u.0);
    let t = time(|n| {
        black_box(whole.homes(POOL, LoraIx(n)));
    });
    let way = format!("ring, {points} points, {homes} probes");
    let counts = spread(|l| home(&whole, l));
    let differ = differ(|l| home(&one, l), |l| home(&other, l));
    print(&way, t.median, &counts, differ);
}

/// Router that knows every upstream, with nothing resident.
fn named(options: RouterOptions) -> Router {
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

/// Upstreams that one of two entries does not know.
fn missing(entry: usize) -> impl Iterator<Item = u32> {
    (0..SIZE.upstreams).skip(entry).step_by(MISSING)
}

fn grouped(count: usize) {
    let keys: Vec<u64> = (0..SIZE.upstreams).map(key).collect();
    let part = |entry: usize| {
        let gone: Vec<u64> = missing(entry).map(key).collect();
        let kept = keys.iter().copied().filter(|k| !gone.contains(k));
        Groups::new(&kept.collect::<Vec<_>>(), count)
    };
    let (whole, one, other) = (Groups::new(&keys, count), part(0), part(1));
    let mut order: Vec<(u64, u32)> = keys.iter().copied().zip(0..).collect();
    order.sort_unstable();
    let ix = |key: u64| order[order.partition_point(|o| o.0 < key)].1;
    let home = |g: &Groups, lora: u32| ix(g.homes(u64::from(lora), HOMES)[0]);
    let t = time(|n| {
        black_box(whole.homes(u64::from(n), HOMES));
    });
    let way = format!("rendezvous, {count} groups");
    let counts = spread(|l| home(&whole, l));
    let differ = differ(|l| home(&one, l), |l| home(&other, l));
    print(&way, t.median, &counts, differ);
}

/// Adapters at home at each upstream, ascending.
fn spread(home: impl Fn(u32) -> u32) -> Vec<u32> {
    let mut counts = vec![0_u32; SIZE.upstreams as usize];
    (0..SPREAD).for_each(|l| counts[home(l) as usize] += 1);
    counts.sort_unstable();
    counts
}

/// Adapters whose home differs between two entries.
fn differ(one: impl Fn(u32) -> u32, other: impl Fn(u32) -> u32) -> usize {
    (0..SIZE.loras).filter(|&l| one(l) != other(l)).count()
}

fn print(way: &str, ns: f64, counts: &[u32], differ: usize) {
    let mean = f64::from(SPREAD) / f64::from(SIZE.upstreams);
    println!(
        "{}",
        json!({"bench": "homes", "way": way, "median_ns": ns.round(),
            "p99_over_mean": f64::from(counts[counts.len() * 99 / 100]) / mean,
            "most_over_mean": f64::from(counts[counts.len() - 1]) / mean,
            "adapters": SIZE.loras, "home_differs": differ})
    );
}
