//! A running entry that hears reports and serves nobody: what control costs it.
//!
//! The entry, the platform's stand-ins and the sides have a loop on a thread each. Sides are tasks
//! that send the reports a side would send, each at the pace that the entry's replies set, and ask
//! for the configuration as often as a side of a region would. They share kept connections, so
//! that memory of connections is not part of the figures. Sides first talk to a stand-in of an
//! entry for a while, so that their own memory is not taken for the entry's.

mod sides;
mod wire;

use std::thread::sleep;
use std::time::{Duration, Instant};

use super::SlopesArgs;
use super::line::{Figure, Sample, Series};
use super::world::{Counts, World, start_entry, start_world};
use crate::path::{Thread, resident};
use sides::Sides;

/// Time for sides and entry to settle.
const SETTLE: Duration = Duration::from_secs(9);

/// Time in which sides talk to the stand-in.
const WARM: Duration = Duration::from_secs(4);

/// Adapters declared.
const ADAPTERS: u32 = 24_000;

/// Series of this part.
struct All {
    core: Series,
    report: Series,
    rate: Series,
    bytes: Series,
    memory: Series,
}

/// Runs each size.
pub(super) fn run(args: &SlopesArgs) {
    let mut all = All {
        core: series("entry, part of a core", "percent"),
        report: series("entry, all its time by reports", "us a report"),
        rate: series("reports", "a second"),
        bytes: series("reports and replies on the wire", "bytes a second"),
        memory: series("entry, memory without connections", "bytes"),
    };
    for &sides in &args.sides.0 {
        let sides = u32::try_from(sides).unwrap_or(u32::MAX);
        watch(&mut all, sides, Duration::from_secs(args.watch_s));
    }
    let fitted = [&all.core, &all.rate, &all.bytes, &all.memory];
    fitted.into_iter().for_each(Series::fit);
}

fn series(name: &'static str, unit: &'static str) -> Series {
    Series::new(Figure {
        part: "idle",
        name,
        unit,
        per: "side that reports",
    })
}

#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn watch(all: &mut All, count: u32, span: Duration) {
    let counts = Counts {
        adapters: ADAPTERS,
        sides: count,
    };
    let world: Thread<World> = Thread::start("world", move |told| start_world(counts, told));
    let sides = Sides::start(count);
    sleep(WARM);
    let before = resident();
    let platform = world.told.clone();
    let entry = Thread::start("entry", move |told| start_entry(platform, 1, told));
    sides.aim(&entry.told);
    sleep(SETTLE);
    let (time, sent, from) = (entry.time(), sides.sent(), Instant::now());
    sleep(span);
    let took = from.elapsed().as_secs_f64();
    let used = entry.time().saturating_sub(time).as_secs_f64();
    let reports = (sides.sent() - sent) as f64;
    let grown = resident().saturating_sub(before) as f64;
    sides.stop();
    all.core.add(count, Sample::once(used / took * 100.0));
    all.report
        .add(count, Sample::once(used / reports.max(1.0) * 1e6));
    all.rate.add(count, Sample::once(reports / took));
    let wire = wire::measure(&entry.told).map_or(f64::NAN, wire::Wire::print);
    all.bytes.add(count, Sample::once(reports / took * wire));
    all.memory.add(count, Sample::once(grown));
}
