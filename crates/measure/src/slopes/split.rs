//! Keys in parts: what the busiest of a service's sides reads and keeps, by the number of parts and
//! by the calls of the service.
//!
//! Entries deal the parts out to the sides by the router's own rank; the busiest side holds a real
//! ledger for each of its parts.

use std::collections::BTreeMap;

use pumicecleat_ledger::Ledger;
use pumicecleat_policy::{
    PoolIx, RouteQuery, Router, RouterOptions, UpstreamIx, UpstreamStatus, part_key, upstream_key,
};
use pumicecleat_types::{LoadFigures, Millis, PoolId, VmId};

use super::keys::{append_bytes, key, ledger_of};
use super::line::{Figure, Sample, Series};
use super::memory::size;

/// Sides of the service.
const SIDES: u32 = 4;
/// Numbers of parts.
const PARTS: [u32; 5] = [1, 4, 16, 64, 256];
/// Calls of the service in a second.
const CALLS: [u32; 4] = [10, 20, 40, 80];
/// Parts where the calls vary.
const USUAL: u32 = 64;
/// Calls a second where the parts vary.
const BUSY: u32 = 80;
/// Seconds of calls that a ledger holds.
const WINDOW_S: u32 = 600;

const POOL: PoolIx = PoolIx(0);

/// Runs all, and gives the ledgers that it built.
pub(super) fn run() -> Vec<Vec<Ledger>> {
    let read = |per| figure("busiest of 4 sides, log read", "bytes a second", per);
    let kept = |per| figure("busiest of 4 sides, ledgers of 10 minutes", "bytes", per);
    let mut ledgers = Vec::new();
    let mut bytes = Series::new(read("part, at 80 calls a second"));
    let mut memory = Series::new(kept("part, at 80 calls a second"));
    for parts in PARTS {
        let busiest = Busiest::of(BUSY, parts);
        memory.add(parts, Sample::once(busiest.memory(&mut ledgers)));
        bytes.add(parts, Sample::once(busiest.bytes()));
    }
    let mut bytes = Series::new(read("call a second, in 64 parts"));
    let mut memory = Series::new(kept("call a second, in 64 parts"));
    for calls in CALLS {
        let busiest = Busiest::of(calls, USUAL);
        memory.add(calls, Sample::once(busiest.memory(&mut ledgers)));
        bytes.add(calls, Sample::once(busiest.bytes()));
    }
    bytes.fit();
    memory.fit();
    ledgers
}

fn figure(name: &'static str, unit: &'static str, per: &'static str) -> Figure {
    Figure {
        part: "keys",
        name,
        unit,
        per,
    }
}

/// Calls of the window by part, at the side that has most of them.
struct Busiest(BTreeMap<u32, Vec<u32>>);

impl Busiest {
    fn of(calls: u32, parts: u32) -> Self {
        let router = sides();
        let mut loads: BTreeMap<u32, BTreeMap<u32, Vec<u32>>> = BTreeMap::new();
        for n in 0..calls * WINDOW_S {
            let part = key(n).partition(parts);
            let side = home(&router, part);
            let load = loads.entry(side).or_default();
            load.entry(part).or_default().push(n);
        }
        let count = |load: &BTreeMap<u32, Vec<u32>>| load.values().map(Vec::len).sum::<usize>();
        let busiest = loads.into_values().max_by_key(count);
        Self(busiest.unwrap_or_default())
    }

    /// In one second, records base64 as the log gives them.
    fn bytes(&self) -> f64 {
        let calls = self.0.values().flatten();
        let bytes: usize = calls.map(|n| append_bytes(*n)).sum();
        let sum = u32::try_from(bytes.div_ceil(3) * 4).unwrap_or(u32::MAX);
        f64::from(sum) / f64::from(WINDOW_S)
    }

    fn memory(&self, kept: &mut Vec<Vec<Ledger>>) -> f64 {
        let ledger = |calls: &Vec<u32>| ledger_of(calls.iter().copied());
        size(kept, || self.0.values().map(ledger).collect())
    }
}

fn sides() -> Router {
    let mut router = Router::new_ext(RouterOptions::default());
    let load = LoadFigures {
        max_batch_size: 8,
        step_us: 10_000,
        ..LoadFigures::default()
    };
    let figures = UpstreamStatus {
        load,
        leaving: false,
        healthy: true,
    };
    for side in 0..SIDES {
        let up = UpstreamIx(side);
        let vm = VmId::from(format!("centre-01-service-{side:05}"));
        router.set_upstream_key(up, upstream_key(&vm));
        router.report(up, POOL, &figures, None, None, Millis(0));
    }
    router
}

fn home(router: &Router, part: u32) -> u32 {
    let ask = RouteQuery {
        pool: POOL,
        lora: None,
        prompt: None,
        time_left: Millis(5_000),
        tried: &[],
    };
    let key = part_key(&PoolId::from("service-0001"), part);
    let pick = router.choose_by_rank(&ask, key, Millis(0));
    pick.map_or(0, |p| p.up.0)
}
