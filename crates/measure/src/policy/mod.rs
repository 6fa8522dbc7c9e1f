//! The decisions under load and faults: a seeded trace of requests replayed in virtual time.
//!
//! The decision code is the product's own; `model` is a small model of engines and of the weight
//! store, and `replay` drives both from one queue of events. On each trace run `ours`, `naive`, the
//! steps between the two, and `bound`, an estimate by a policy that sees the future. The
//! assumptions stand in docs/POLICY-MODEL.md.

mod args;
mod bound;
mod fault;
mod model;
mod preset;
mod replay;
mod report;
mod rules;
mod shape;
mod shares;
mod summary;
mod trace;

pub use args::PolicyArgs;
pub use fault::Fault;
pub use preset::Preset;

use report::Line;
use rules::Rules;
use shape::Shape;
use summary::Summary;
use trace::Trace;

/// Replays each seed under each policy and prints its lines, then the summary.
pub fn run(args: &PolicyArgs) {
    let shape = args.shape();
    let mut summary = Summary::default();
    for seed in args.seeds() {
        for line in replay_seed(&shape, args, seed) {
            if !args.brief {
                println!("{}", line.json());
            }
            summary.add(line);
        }
    }
    for line in summary.lines() {
        println!("{line}");
    }
}

fn replay_seed(shape: &Shape, args: &PolicyArgs, seed: u64) -> Vec<Line> {
    let trace = Trace::draw(shape, &args.load(seed));
    let calm = args.flood.then(|| Trace::draw(shape, &args.calm(seed)));
    let mut lines = Vec::new();
    for rules in Rules::ALL {
        let tally = replay::replay(shape, &trace, *rules, args.fault, seed);
        let mut line = Line::new(shape, &trace, rules.name(), args, seed, &tally);
        if let Some(calm) = &calm {
            let before = replay::replay(shape, calm, *rules, args.fault, seed);
            line.share = Some(shares::worst(shape, (&trace, &tally), (calm, &before)));
        }
        lines.push(line);
    }
    let tally = bound::estimate(shape, &trace);
    lines.push(Line::new(shape, &trace, "bound", args, seed, &tally));
    lines
}
