//! `path`: what entry and side add to a stream.
//!
//! The same requests go direct to the stand-in engine and through entry and side, in one run.
//! Engine, side, entry and callers each have a loop on a thread of their own, so that the
//! processor time of each is its thread's. Memory is the growth of the whole process while the
//! streams are open; what the direct streams take (callers and engine) is taken off.

mod args;
mod load;
mod parts;
mod report;
mod thread;

pub use args::PathArgs;
pub(crate) use thread::{Part as Thread, resident};

use crate::json::print;
use load::{Load, Take};
use parts::Parts;
use report::Line;

/// Runs the measurement and prints a line for each way and size.
pub fn run(args: &PathArgs) {
    for &streams in &args.streams.0 {
        let parts = Parts::start(args, streams);
        let load = |way, peer: &str| Load {
            way,
            peer: peer.to_owned(),
            streams,
            tokens: args.tokens,
            spread_ms: args.spread_ms,
        };
        // Each way once to warm up: connections, buffers, the adapter.
        let _ = load("warm direct", &parts.engine).run();
        let _ = load("warm through", &parts.entry).run();
        let direct = measure(&parts, &load("direct", &parts.engine));
        let through = measure(&parts, &load("through", &parts.entry));
        print(&direct);
        print(&through);
        print(&report::Added::between(&direct, &through));
    }
}

fn measure(parts: &Parts, load: &Load) -> Line {
    let before = parts.times();
    let take: Take = load.run();
    let after = parts.times();
    Line::new(load, &take, &after.since(&before))
}
