//! Reports of sides: their bytes, and what an entry's router spends on them.

use pumicecleat_policy::{LoraIx, PoolIx, Router, RouterOptions, UpstreamIx, UpstreamStatus};
use pumicecleat_types::{Millis, ReportReply, decode, encode};

use super::clock::cost;
use super::fleet::{BASES, SLOTS, figures, report};
use super::line::{Figure, Sample, Series};
use super::memory::size;

/// Sides known to one entry.
const SIDES: [u32; 4] = [975, 1_950, 3_900, 7_800];

/// Adapters.
const ADAPTERS: u32 = 24_000;

/// Reports in a batch.
const BATCH: u32 = 2_000;

/// Runs all.
pub(super) fn run() {
    print_bytes();
    codec();
    let known = by_sides("router, memory", "bytes");
    let same = by_sides("router, a report without residency", "us");
    let changed = by_sides("router, a report with residency", "us");
    let mut series = [known, same, changed].map(Series::new);
    let mut kept = Vec::new();
    for sides in SIDES {
        series[0].add(sides, Sample::once(size(&mut kept, || router(sides))));
        let mut one = router(sides);
        series[1].add(sides, cost(BATCH, |n| hear(&mut one, n % sides, false)));
        series[2].add(sides, cost(BATCH, |n| hear(&mut one, n % sides, true)));
    }
    series.iter().for_each(Series::fit);
}

fn by_sides(name: &'static str, unit: &'static str) -> Figure {
    Figure {
        part: "report",
        name,
        unit,
        per: "side",
    }
}

/// Bytes by slots: residency is what makes a report long.
fn print_bytes() {
    let by_slots = |name| Figure {
        part: "report",
        name,
        unit: "bytes",
        per: "adapter named",
    };
    let mut rows = Series::new(by_slots("report, encoded"));
    for slots in [0, 2, 4, SLOTS] {
        let mut message = report(1_234, 100, slots > 0);
        if let Some(names) = message.resident.as_mut() {
            names.truncate(slots as usize);
        }
        rows.add(slots, length(&encode(&message)));
    }
    rows.fit();
    let reply = ReportReply {
        next_ms: 7_000,
        revision: 40_000,
        needs_full_report: false,
    };
    let mut replies = Series::new(by_slots("reply, encoded"));
    replies.add(0, length(&encode(&reply)));
}

/// Time to decode a report, by the adapters it names.
fn codec() {
    let mut series = Series::new(Figure {
        part: "report",
        name: "report, decoded",
        unit: "us",
        per: "adapter named",
    });
    for slots in [0, 2, 4, SLOTS] {
        let mut message = report(1_234, 100, slots > 0);
        if let Some(names) = message.resident.as_mut() {
            names.truncate(slots as usize);
        }
        let bytes = encode(&message);
        let decoded = cost(BATCH, |_| {
            let report = decode::<pumicecleat_types::Report>(&bytes);
            std::hint::black_box(report.is_ok());
        });
        series.add(slots, decoded);
    }
    series.fit();
}

fn length(bytes: &[u8]) -> Sample {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    Sample::once(f64::from(length))
}

fn router(sides: u32) -> Router {
    let mut router = Router::new_ext(RouterOptions::default());
    (0..ADAPTERS).for_each(|n| router.set_lora_key(LoraIx(n), u64::from(n) + 1));
    (0..sides).for_each(|side| hear(&mut router, side, true));
    router
}

fn hear(router: &mut Router, side: u32, whole: bool) {
    let figures = UpstreamStatus {
        load: figures(side),
        leaving: false,
        healthy: true,
    };
    let first = side * SLOTS;
    let loras: Vec<LoraIx> = (0..SLOTS).map(|n| LoraIx((first + n) % ADAPTERS)).collect();
    let resident = whole.then_some(loras.as_slice());
    let pool = PoolIx(side % BASES);
    router.report(UpstreamIx(side), pool, &figures, resident, None, Millis(1));
}
