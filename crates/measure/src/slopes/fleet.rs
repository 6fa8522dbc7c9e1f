//! Names, reports and configurations of the size to come: names as long as a fleet's are.

use std::collections::BTreeSet;

use pumicecleat_config::model::{
    Adapter, BaseModel, Caller, Config, Grant, Pool, PoolKind, Version,
};
use pumicecleat_types::{LoadFigures, Report, VmEntry, VmRole, VmState};

/// Base models.
pub(super) const BASES: u32 = 7;

/// Adapter slots of an engine.
pub(super) const SLOTS: u32 = 8;

/// Callers declared.
const CALLERS: u32 = 200;

/// Engines of one data centre: 7,800 in 24.
const CENTRE: u32 = 325;

/// Report of a side: `whole` names what is resident.
pub(super) fn report(side: u32, seq: u64, whole: bool) -> Report {
    let names = || (0..SLOTS).map(|slot| engine_name(side * SLOTS + slot));
    Report {
        vm: vm(side).as_str().into(),
        incarnation: 1_790_000_000_000,
        seq,
        address: address(side),
        pool: pool(side).as_str().into(),
        centre: centre(side).as_str().into(),
        region: "region-1".into(),
        leaving: false,
        healthy: true,
        load: figures(side),
        resident: whole.then(|| names().collect()),
        loading: None,
        revision: 40_000,
    }
}

/// Load of a side that works.
pub(super) fn figures(side: u32) -> LoadFigures {
    LoadFigures {
        running: side % 8,
        waiting: side % 3,
        max_batch_size: 8,
        slots: SLOTS,
        spare_slots: side % 4,
        step_us: 10_000 + side % 1_000,
        wait_ms: side % 300,
    }
}

/// An upstream of the VM list.
pub(super) fn listed(side: u32) -> VmEntry {
    VmEntry {
        vm: vm(side).as_str().into(),
        role: VmRole::Upstream,
        state: VmState::Live,
        address: address(side),
        centre: centre(side).as_str().into(),
        region: "region-1".into(),
        pool: Some(pool(side).as_str().into()),
    }
}

/// Configuration with so many adapters.
pub(super) fn config(adapters: u32) -> Config {
    let mut config = Config::default();
    for base in 0..BASES {
        let name = base_name(base);
        config
            .bases
            .insert(name.as_str().into(), BaseModel { context: 8_192 });
        config
            .pools
            .insert(pool(base).as_str().into(), model_pool(&name));
    }
    for n in 0..adapters {
        config
            .adapters
            .insert(adapter_name(n).into(), adapter(n, 0));
    }
    for n in 0..CALLERS {
        config
            .callers
            .insert(format!("caller-{n:04}").into(), caller(n));
    }
    config
}

/// Declaration of an adapter whose only version is the given one.
pub(super) fn adapter(n: u32, version: u32) -> Adapter {
    let name = format!("v{version}");
    let path = format!("weights/{}/{name}", adapter_name(n));
    Adapter {
        base: base_name(n % BASES).into(),
        default: Some(name.as_str().into()),
        versions: [(name.into(), Version { path })].into(),
    }
}

/// Name of an adapter.
pub(super) fn adapter_name(n: u32) -> String {
    format!("adapter-{n:05}")
}

/// Name of a VM.
pub(super) fn vm(side: u32) -> String {
    format!("{}-engine-{side:05}", centre(side))
}

fn engine_name(n: u32) -> String {
    format!("{}@v0", adapter_name(n % 24_000))
}

fn model_pool(base: &str) -> Pool {
    Pool {
        kind: PoolKind::Model {
            base: base.into(),
            slots: SLOTS,
            batch: 8,
            fencing: true,
        },
        queue: 64,
    }
}

fn caller(n: u32) -> Caller {
    let prefix = format!("adapter-{:02}", n % 24);
    Caller {
        keys: BTreeSet::from([pumicecleat_config::hash_key(&format!("key {n}"))]),
        claim: 1 + n % 5,
        priority: 0,
        grant: Grant {
            prefixes: BTreeSet::from([prefix]),
            ..Grant::default()
        },
    }
}

fn base_name(n: u32) -> String {
    format!("base-{n}")
}

fn pool(side: u32) -> String {
    format!("pool-{}", side % BASES)
}

fn centre(side: u32) -> String {
    format!("centre-{:02}", side / CENTRE)
}

fn address(side: u32) -> String {
    format!(
        "10.{}.{}.{}:8082",
        side / 62_500,
        side / 250 % 250,
        side % 250
    )
}
