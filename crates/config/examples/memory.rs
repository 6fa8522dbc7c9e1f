//! Measures the memory of a fold by the growth of this process's resident memory over some copies.
//!
//! The argument is the number of adapters. Each run measures one size, as memory freed by a larger
//! one would be reused for the next. Run it with `--release`, on Linux.

use pumicecleat_config::model::{Adapter, BaseModel, Config, Version};
use pumicecleat_config::{Change, ChangeId, Fold, FoldEvent, Record};
use pumicecleat_types::LogRecord;

const BASES: usize = 7;
const ADAPTERS: usize = 24_000;
const COPIES: usize = 16;

fn main() {
    let adapters_arg = std::env::args().nth(1).and_then(|word| word.parse().ok());
    let adapters = adapters_arg.unwrap_or(ADAPTERS);
    let snapshot = fold_with(&declare(adapters)).snapshot_bytes();
    let build = || Fold::from_snapshot(&snapshot).expect("own snapshot");
    // The first copy reuses memory that was freed after making the snapshot.
    let mut kept = vec![build()];
    let before = resident_kb();
    kept.extend((0..COPIES).map(|_| build()));
    let growth_kb = resident_kb().saturating_sub(before) / COPIES;
    println!(
        "{adapters} adapters: {growth_kb} kB, {} bytes an adapter, of {COPIES} copies",
        growth_kb * 1024 / adapters
    );
}

fn declare(adapters: usize) -> Config {
    let mut config = Config::default();
    for i in 0..BASES {
        let base = BaseModel { context: 8192 };
        config.bases.insert(base_name(i).into(), base);
    }
    for i in 0..adapters {
        let name = format!("adapter-{i:05}");
        let path = format!("weights/{name}/v0");
        let adapter = Adapter {
            base: base_name(i % BASES).into(),
            default: Some("v0".into()),
            versions: [("v0".into(), Version { path })].into(),
        };
        config.adapters.insert(name.into(), adapter);
    }
    config
}

fn base_name(i: usize) -> String {
    format!("base-{i}")
}

/// Returns a fold with the configuration in force.
fn fold_with(config: &Config) -> Fold {
    let mut fold = Fold::new();
    let id = ChangeId::try_from("first".to_owned()).expect("a short id");
    let change = Change::new(id, 0, fold.config(), config, "operator");
    let data = Record::Change(Box::new(change)).to_bytes();
    let (offset, at) = (0, 0);
    let event = fold.apply(&LogRecord { offset, at, data });
    assert!(matches!(event, Ok(FoldEvent::Accepted { .. })), "{event:?}");
    fold
}

/// Resident memory of this process, kB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
