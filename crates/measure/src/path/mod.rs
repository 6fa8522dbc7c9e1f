//! `path`: what entry and side add to a stream.
//!
//! The same requests go direct to the stand-in engine and through entry and side, in one run.
//!
//! In one process, engine, side, entry and callers each have a loop on a thread of their own, so
//! that the processor time of each is its thread's. Memory isn't told apart there: pages that one
//! part freed are used again by another.
//!
//! With processes already running, the growth of the entry's and of the side's resident memory is
//! taken while the first streams that they ever carry are open (`cold`). This program starts no
//! process: `path.sh` does.

mod args;
mod load;
mod parts;
mod process;
mod report;
mod thread;

pub use args::{PathArgs, Sizes};
pub(crate) use thread::{Part as Thread, resident};

use crate::json::print;
use args::Running;
use load::{Load, Take};
use parts::{Parts, Times};
use process::Processes;
use report::Line;

/// Runs the measurement and prints a line for each way and size.
pub fn run(args: &PathArgs) {
    match args.running() {
        Some(running) => measure_running(args, &running),
        None if args.names_running() => {
            eprintln!("step read arguments: engine, entry, entry-id and side-id go together");
            std::process::exit(2);
        }
        None => measure_inside(args),
    }
}

fn measure_inside(args: &PathArgs) {
    for &streams in &args.streams.0 {
        let parts = Parts::start(args, streams);
        let load = |way, peers: &str| load(args, way, peers, 1, streams);
        let times = || parts.times();
        // Each way once to warm up: connections, buffers, the adapter.
        let _ = load("warm direct", &parts.engine).run();
        let _ = load("warm through", &parts.entry).run();
        let direct = measure(times, &load("direct", &parts.engine));
        let through = measure(times, &load("through", &parts.entry));
        print_all(&direct, &through);
    }
}

fn measure_running(args: &PathArgs, running: &Running) {
    let processes = running.processes;
    let times = || processes.times();
    for &streams in &args.streams.0 {
        let engines = running.engine.split(',').count();
        let cold = load(args, "cold", &running.entry, engines, streams);
        let cold = watched(cold, processes);
        print(&measure(times, &cold));
        let direct = load(args, "direct", &running.engine, engines, streams);
        direct.preload();
        let direct = measure(times, &direct);
        let through = load(args, "through", &running.entry, engines, streams);
        let through = measure(times, &through);
        print_all(&direct, &through);
    }
}

fn load(args: &PathArgs, way: &'static str, peers: &str, adapters: usize, streams: usize) -> Load {
    Load {
        way,
        peers: peers.split(',').map(str::to_owned).collect(),
        adapters,
        streams,
        tokens: args.tokens,
        spread_ms: args.spread_ms,
        watched: None,
    }
}

fn watched(load: Load, processes: Processes) -> Load {
    Load {
        watched: Some(processes),
        ..load
    }
}

fn measure(times: impl Fn() -> Times, load: &Load) -> Line {
    let before = times();
    let take: Take = load.run();
    let after = times();
    Line::new(load, &take, &after.since(&before))
}

fn print_all(direct: &Line, through: &Line) {
    print(direct);
    print(through);
    print(&report::Added::between(direct, through));
}
