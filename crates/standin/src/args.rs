//! Command line.

use std::net::SocketAddr;

use argh::FromArgs;
use pumicecleat_standin::{EngineOptions, LogOptions, ServiceOptions, StoreOptions, VmListOptions};

/// Stand-in for a part of the platform or an upstream, for tests and trials.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// which one
    #[argh(subcommand)]
    pub(crate) kind: Kind,
}

/// Stand-in to start.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Kind {
    Engine(EngineArgs),
    Service(ServiceArgs),
    Store(StoreArgs),
    Log(LogArgs),
    Vms(VmsArgs),
}

/// Model engine in the vLLM form.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineArgs {
    /// address to listen on; port 0 lets the system choose
    #[argh(option)]
    listen: SocketAddr,
    /// name of the base model (default: base)
    #[argh(option, default = "\"base\".into()")]
    base: String,
    /// slots for a LoRA each (default: 4)
    #[argh(option, default = "4")]
    slots: usize,
    /// requests in a step (default: 32)
    #[argh(option, default = "32")]
    batch: usize,
    /// time of a step, milliseconds (default: 10)
    #[argh(option, default = "10")]
    step_ms: u64,
    /// time of a slow step, milliseconds (default: 20)
    #[argh(option, default = "20")]
    slow_ms: u64,
    /// chance of a slow step, 0 to 1 (default: 0)
    #[argh(option, default = "0.0")]
    slow_chance: f64,
    /// seed of the slow steps (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// address of the weight store; without one every load succeeds at once
    #[argh(option)]
    store: Option<String>,
    /// take orders with an old fencing number
    #[argh(switch)]
    ignore_fencing: bool,
    /// age of the load figures shown, milliseconds (default: 0)
    #[argh(option, default = "0")]
    metrics_lag_ms: u64,
    /// words of prompts that the prefix cache holds (default: 1000000)
    #[argh(option, default = "1_000_000")]
    cache: u64,
    /// time to read a word of a prompt that is not cached, microseconds (default: 0)
    #[argh(option, default = "0")]
    prefill_us: u64,
}

/// Plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct ServiceArgs {
    /// address to listen on; port 0 lets the system choose
    #[argh(option)]
    listen: SocketAddr,
    /// time from a request's effect to its answer, milliseconds (default: 0)
    #[argh(option, default = "0")]
    work_ms: u64,
}

/// Weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub(crate) struct StoreArgs {
    /// address to listen on; port 0 lets the system choose
    #[argh(option)]
    listen: SocketAddr,
    /// time of one load at full speed, milliseconds (default: 500)
    #[argh(option, default = "500")]
    load_ms: u32,
    /// speed of several loads together, as a share of full speed (default: 0.8)
    #[argh(option, default = "0.8")]
    shared: f64,
}

/// Append-only log service.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub(crate) struct LogArgs {
    /// address to listen on; port 0 lets the system choose
    #[argh(option)]
    listen: SocketAddr,
    /// appends in any second (default: 400)
    #[argh(option, default = "400")]
    rate: usize,
    /// records kept in each stream (default: all)
    #[argh(option)]
    keep_count: Option<u64>,
    /// time that records are kept, milliseconds (default: for ever)
    #[argh(option)]
    keep_ms: Option<u64>,
}

/// VM list.
#[derive(FromArgs)]
#[argh(subcommand, name = "vms")]
pub(crate) struct VmsArgs {
    /// address to listen on; port 0 lets the system choose
    #[argh(option)]
    listen: SocketAddr,
    /// time until a change shows, milliseconds (default: 0)
    #[argh(option, default = "0")]
    lag_ms: u64,
}

impl From<EngineArgs> for EngineOptions {
    fn from(args: EngineArgs) -> Self {
        Self {
            listen: args.listen,
            base: args.base,
            slots: args.slots,
            batch: args.batch,
            step_ms: args.step_ms,
            slow_ms: args.slow_ms,
            slow_chance: args.slow_chance,
            seed: args.seed,
            store: args.store,
            check_fencing: !args.ignore_fencing,
            metrics_lag_ms: args.metrics_lag_ms,
            cache: args.cache,
            prefill_us: args.prefill_us,
        }
    }
}

impl From<ServiceArgs> for ServiceOptions {
    fn from(args: ServiceArgs) -> Self {
        Self {
            listen: args.listen,
            work_ms: args.work_ms,
        }
    }
}

impl From<StoreArgs> for StoreOptions {
    fn from(args: StoreArgs) -> Self {
        Self {
            listen: args.listen,
            load_ms: args.load_ms,
            shared: args.shared,
        }
    }
}

impl From<LogArgs> for LogOptions {
    fn from(args: LogArgs) -> Self {
        Self {
            listen: args.listen,
            rate: args.rate,
            keep_count: args.keep_count,
            keep_ms: args.keep_ms,
        }
    }
}

impl From<VmsArgs> for VmListOptions {
    fn from(args: VmsArgs) -> Self {
        Self {
            listen: args.listen,
            lag_ms: args.lag_ms,
            vms: Vec::new(),
        }
    }
}
