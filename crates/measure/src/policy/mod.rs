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
mod prefix;
mod preset;
mod replay;
mod report;
mod rules;
mod shape;
mod shares;
mod summary;
mod talk;
mod trace;

pub use args::PolicyArgs;
pub use fault::Fault;
pub use prefix::PrefixMode;
pub use preset::Preset;

use bound::Knows;
use replay::Tally;
use report::Line;
use rules::Rules;
use shape::Shape;
use summary::Summary;
use trace::Trace;

/// Prints the lines of [`measure`].
pub fn run(args: &PolicyArgs) {
    for line in measure(args) {
        println!("{line}");
    }
}

/// Replays each seed under each policy: JSON lines of the runs, then of the summary.
#[must_use]
pub fn measure(args: &PolicyArgs) -> Vec<String> {
    let shape = args.shape();
    let mut lines = Vec::new();
    let mut summary = Summary::default();
    for seed in args.seeds() {
        for line in replay_seed(&shape, args, seed) {
            if !args.brief {
                lines.push(line.json());
            }
            summary.add(line);
        }
    }
    lines.extend(summary.lines());
    lines
}

fn replay_seed(shape: &Shape, args: &PolicyArgs, seed: u64) -> Vec<Line> {
    let trace = Trace::draw(shape, &args.load(seed));
    let disturbed = args.flood || args.shift;
    let calm = disturbed.then(|| Trace::draw(shape, &args.calm(seed)));
    let measure = |name: &'static str, run: &dyn Fn(&Trace) -> Tally| {
        let tally = run(&trace);
        let mut line = Line::new(shape, &trace, name, args, seed, &tally);
        if let Some(calm) = &calm {
            line.compare(shape, (&trace, &tally), (calm, &run(calm)));
        }
        line
    };
    let replayed = |rules: &Rules| {
        let run = |trace: &Trace| replay::replay(shape, trace, *rules, args.fault, seed);
        measure(rules.name(), &run)
    };
    let mut lines: Vec<Line> = Rules::ALL.iter().map(replayed).collect();
    for knows in Knows::ALL {
        let run = |trace: &Trace| bound::estimate(shape, trace, *knows);
        lines.push(measure(knows.name(), &run));
    }
    lines
}
