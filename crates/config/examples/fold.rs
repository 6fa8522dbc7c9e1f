//! Benchmarks the fold at the design size: a day's changes with all adapters.
//!
//! Prints the time to parse the files, the sizes of a change and of a snapshot, and the time to
//! apply a change, to check a snapshot and to start from one. Run it with `--release`.

use std::time::{Duration, Instant};

use pumicecleat_config::model::{Config, Version};
use pumicecleat_config::{Change, ChangeId, Delta, Fold, FoldEvent, Record, Source, digest, parse};
use pumicecleat_types::LogRecord;

const BASES: usize = 7;
const ADAPTERS: usize = 24_000;
const CHANGES: usize = 39_000;

fn main() {
    let text = write_config();
    let start = Instant::now();
    let name = "all.toml";
    let bytes = text.as_bytes();
    let config = parse(&[Source { name, bytes }]).expect("no faults");
    println!("parse of {} bytes: {:?}", bytes.len(), start.elapsed());
    let mut fold = Fold::new();
    let change = Change::new(id(0), 0, fold.config(), &config, "bench");
    let (first, duration) = apply(&mut fold, Record::Change(Box::new(change)).to_bytes());
    println!("first change: {first} bytes, {duration:?}");
    measure_changes(&mut fold, config);
    measure_snapshot(&mut fold);
}

fn measure_changes(fold: &mut Fold, mut config: Config) {
    let mut times = Vec::new();
    let mut bytes = 0;
    for i in 1..=CHANGES {
        let record = change(fold, &mut config, i);
        let (size, duration) = apply(fold, record.to_bytes());
        bytes += size;
        times.push(duration);
    }
    assert_eq!(digest(&config), fold.digest());
    let total: Duration = times.iter().sum();
    times.sort();
    println!(
        "{CHANGES} changes: {total:?}, {} bytes each",
        bytes / CHANGES
    );
    println!(
        "median {:?}, longest {:?}",
        times[CHANGES / 2],
        times[CHANGES - 1]
    );
}

fn measure_snapshot(fold: &mut Fold) {
    let bytes = fold.snapshot_bytes();
    let start = Instant::now();
    let copy = Fold::from_snapshot(&bytes).expect("own snapshot");
    println!("start from {} bytes: {:?}", bytes.len(), start.elapsed());
    assert_eq!(copy.digest(), fold.digest());
    let record = copy.snapshot_record();
    let (_, duration) = apply(fold, record);
    println!("check of a snapshot record: {duration:?}");
}

/// Creates the change to a new version of an adapter, as an operator's command does, except that it
/// does not compare the whole configuration.
fn change(fold: &Fold, config: &mut Config, i: usize) -> Record {
    let name = name(i * 7919 % ADAPTERS);
    let mut small = Config::default();
    let old = config.adapters[name.as_str()].clone();
    small.adapters.insert(name.clone().into(), old.clone());
    let mut new = old;
    new.versions.clear();
    let version = format!("v{i}");
    new.default = Some(version.clone().into());
    new.versions.insert(version.into(), path(&name, i));
    let mut next = small.clone();
    next.adapters.insert(name.clone().into(), new.clone());
    let delta = Delta::between(&small, &next);
    config.adapters.insert(name.into(), new);
    // The author of a change computes its digest; its own fold does so at the same cost.
    let digest = fold.digest_after(&delta).expect("delta fits");
    Record::Change(Box::new(Change {
        id: id(i),
        base: fold.revision(),
        delta,
        digest,
        author: "bench".to_owned(),
        note: String::new(),
    }))
}

fn apply(fold: &mut Fold, data: Vec<u8>) -> (usize, Duration) {
    let bytes = data.len();
    let record = LogRecord {
        offset: fold.next(),
        at: 0,
        data,
    };
    let start = Instant::now();
    let event = fold.apply(&record).expect("no gap");
    let duration = start.elapsed();
    let applied = matches!(event, FoldEvent::Accepted { .. } | FoldEvent::Confirmed);
    assert!(applied, "{event:?}");
    (bytes, duration)
}

fn write_config() -> String {
    let bases = (0..BASES).map(|i| format!("[base.base-{i}]\ncontext = 8192\n"));
    bases.chain((0..ADAPTERS).map(write_adapter)).collect()
}

fn write_adapter(i: usize) -> String {
    let name = name(i);
    let base = i % BASES;
    let path = path(&name, 0).path;
    format!("[adapter.{name}]\nbase = 'base-{base}'\ndefault = 'v0'\nversion.v0.path = '{path}'\n")
}

fn name(i: usize) -> String {
    format!("adapter-{i:05}")
}

fn path(name: &str, version: usize) -> Version {
    let path = format!("weights/{name}/{version}");
    Version { path }
}

fn id(i: usize) -> ChangeId {
    ChangeId::try_from(format!("0190a8c0-0000-7000-8000-{i:012}")).expect("short")
}
