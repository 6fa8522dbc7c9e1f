//! The configuration: memory of a fold, changes, snapshots, and the operator's command.

use pumicecleat_config::model::Config;
use pumicecleat_config::{Change, ChangeId, Delta, Fold, FoldEvent, Record, SnapshotScan};
use pumicecleat_types::LogRecord;

use super::clock::{cost, thread_time};
use super::fleet::{adapter, adapter_name, config};
use super::line::{Figure, Sample, Series};
use super::memory::size;

/// Adapters declared.
const ADAPTERS: [u32; 4] = [3_000, 6_000, 12_000, 24_000];

/// Changes in a batch.
const CHANGES: u32 = 100;

/// Checks that a figure is the median of.
const SCANS: u32 = 9;

/// Items in a slice, as in entries.
const SLICE: u32 = 256;

/// Series of this part.
struct All {
    memory: Series,
    change: Series,
    change_bytes: Series,
    snapshot_bytes: Series,
    write: Series,
    read: Series,
    step: Series,
    slice: Series,
    slices: Series,
    author: Series,
}

impl All {
    fn new() -> Self {
        Self {
            memory: series("fold, memory", "bytes"),
            change: series("a change taken in", "us"),
            change_bytes: series("a change, encoded", "bytes"),
            snapshot_bytes: series("snapshot, encoded", "bytes"),
            write: series("snapshot written", "us"),
            read: series("snapshot read and checked", "us"),
            step: series("snapshot record compared in one step", "us"),
            slice: series(
                "snapshot record compared in slices of 256, the longest",
                "us",
            ),
            slices: series("snapshot record compared in slices of 256, all", "us"),
            author: series("a change made from two whole configurations", "us"),
        }
    }

    fn fit(&self) {
        let all = [
            &self.memory,
            &self.change,
            &self.change_bytes,
            &self.snapshot_bytes,
            &self.write,
            &self.read,
            &self.step,
            &self.slice,
            &self.slices,
            &self.author,
        ];
        all.into_iter().for_each(Series::fit);
    }
}

/// Runs all.
pub(super) fn run() {
    let mut all = All::new();
    let mut kept = Vec::new();
    for adapters in ADAPTERS {
        let declared = config(adapters);
        let mut fold = first(&declared);
        let bytes = fold.snapshot_bytes();
        all.snapshot_bytes.add(adapters, length(bytes.len()));
        let copy = || Fold::from_snapshot(&bytes).expect("own snapshot");
        all.memory
            .add(adapters, Sample::once(size(&mut kept, copy)));
        all.write.add(
            adapters,
            cost(1, |_| {
                std::hint::black_box(fold.snapshot_bytes());
            }),
        );
        all.read.add(
            adapters,
            cost(1, |_| {
                std::hint::black_box(copy());
            }),
        );
        all.step.add(adapters, compare(&mut fold));
        let (most, whole) = scan(&mut fold);
        all.slice.add(adapters, most);
        all.slices.add(adapters, whole);
        all.author.add(adapters, author(&declared));
        let mut records = (1..).map(|n| small_change(n % adapters, n));
        let mut last = 0;
        all.change.add(
            adapters,
            cost(CHANGES, |_| {
                let record = records.next().expect("no end");
                last = take(&mut fold, record);
            }),
        );
        all.change_bytes.add(adapters, length(last));
    }
    all.fit();
}

fn series(name: &'static str, unit: &'static str) -> Series {
    Series::new(Figure {
        part: "config",
        name,
        unit,
        per: "adapter",
    })
}

/// Record of a snapshot as the log would give it next.
fn appended(fold: &Fold) -> LogRecord {
    LogRecord {
        offset: fold.next(),
        at: 1_790_000_000_000,
        data: fold.snapshot_record(),
    }
}

/// Time of a check in one step.
fn compare(fold: &mut Fold) -> Sample {
    let mut times = Vec::new();
    for _ in 0..SCANS {
        let record = appended(fold);
        let start = thread_time();
        let event = fold.apply(&record);
        times.push(thread_time().saturating_sub(start).as_secs_f64() * 1e6);
        assert_eq!(event, Ok(FoldEvent::Confirmed), "its own snapshot");
    }
    Sample::of(times)
}

/// Time of the longest slice, and of all slices of one check.
fn scan(fold: &mut Fold) -> (Sample, Sample) {
    let (mut most, mut whole) = (Vec::new(), Vec::new());
    for _ in 0..SCANS {
        let record = appended(fold);
        let mut slices = vec![thread_time()];
        let mut scan = SnapshotScan::open(&record.data).expect("a snapshot as written");
        while scan.step(SLICE) {
            slices.push(thread_time());
        }
        let event = fold.apply_scanned(&record, scan);
        assert_eq!(event, Ok(FoldEvent::Confirmed), "its own snapshot");
        slices.push(thread_time());
        let spans = slices
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]).as_secs_f64() * 1e6);
        most.push(spans.clone().fold(0.0, f64::max));
        whole.push(spans.sum());
    }
    (Sample::of(most), Sample::of(whole))
}

/// Fold in which a whole configuration is in force.
fn first(declared: &Config) -> Fold {
    let mut fold = Fold::new();
    let change = Change::new(id(0), 0, fold.config(), declared, "operator");
    let data = Record::Change(Box::new(change)).to_bytes();
    apply(&mut fold, data);
    fold
}

/// What `apply` of the operator's command computes between reading files and appending.
fn author(declared: &Config) -> Sample {
    let mut next = declared.clone();
    next.adapters.insert(adapter_name(1).into(), adapter(1, 1));
    cost(1, |n| {
        let change = Change::new(id(n), 1, declared, &next, "operator");
        std::hint::black_box(change);
    })
}

/// A new version of one adapter in place of the old one.
fn small_change(adapter_at: u32, version: u32) -> Step {
    let name = adapter_name(adapter_at);
    Step {
        name,
        adapter_at,
        version,
    }
}

struct Step {
    name: String,
    adapter_at: u32,
    version: u32,
}

/// Makes a change against the fold and applies it; gives its length, bytes.
fn take(fold: &mut Fold, step: Step) -> usize {
    let mut old = Config::default();
    let known = fold.config().adapters.get(step.name.as_str()).cloned();
    old.adapters
        .extend(known.map(|a| (step.name.as_str().into(), a)));
    let mut new = Config::default();
    new.adapters
        .insert(step.name.into(), adapter(step.adapter_at, step.version));
    let delta = Delta::between(&old, &new);
    let digest = fold.digest_after(&delta).expect("the delta fits");
    let change = Change {
        id: id(step.version),
        base: fold.revision(),
        delta,
        digest,
        author: "operator".to_owned(),
        note: String::new(),
    };
    let data = Record::Change(Box::new(change)).to_bytes();
    let bytes = data.len();
    apply(fold, data);
    bytes
}

fn apply(fold: &mut Fold, data: Vec<u8>) {
    let before = fold.revision();
    let offset = fold.next();
    let at = 1_790_000_000_000;
    let record = LogRecord { offset, at, data };
    let event = fold.apply(&record).expect("no gap");
    assert!(fold.revision() > before, "not accepted: {event:?}");
}

fn id(n: u32) -> ChangeId {
    ChangeId::try_from(format!("0190a8c0-0000-7000-8000-{n:012}")).expect("a short id")
}

fn length(bytes: usize) -> Sample {
    Sample::once(f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)))
}
