//! The rig repeats itself, and the model of the engine accepts every order under every fault.

use argh::FromArgs;
use pumicecleat_measure::policy::{PolicyArgs, measure};

struct Case {
    name: &'static str,
    flags: &'static [&'static str],
}

const fn case(name: &'static str, flags: &'static [&'static str]) -> Case {
    Case { name, flags }
}

const CASES: &[Case] = &[
    case("no fault", &[]),
    case("shift", &["--shift"]),
    case("flood", &["--flood"]),
    case("cold restart", &["--fault", "cold-restart"]),
    case("failed loads", &["--fault", "failed-loads"]),
    case("slow store", &["--fault", "store-slow"]),
    case("store down", &["--fault", "store-down"]),
    case("late reports", &["--fault", "late-reports"]),
    case("leaving", &["--fault", "leaving"]),
    case("centre lost", &["--fault", "centre-lost"]),
    case("no load order", &["--fault", "order-down"]),
    case(
        "prompts",
        &["--prefix", "meeting", "--fault", "cold-restart"],
    ),
];

/// Lines of one short seed: five policies, their summaries and the ratios.
const LINES: usize = 5 + 5 + 4;

fn args(flags: &[&str]) -> PolicyArgs {
    let mut all = vec!["--seconds", "90", "--seeds", "1", "--preset", "vithu"];
    all.extend(flags);
    PolicyArgs::from_args(&["policy"], &all).expect("flags are known")
}

#[test]
fn every_fault_repeats() {
    for case in CASES {
        let lines = measure(&args(case.flags));
        assert_eq!(lines.len(), LINES, "{}", case.name);
        assert_eq!(lines, measure(&args(case.flags)), "{}", case.name);
    }
}

/// Ours against naive on a short run: a fault in the decisions would show here first.
#[test]
fn ours_stalls_less() {
    let args = args(&["--brief"]);
    let lines = measure(&args);
    let over_naive = lines.iter().find(|l| l.contains(r#""ours_over":"naive""#));
    let ratios: serde_json::Value =
        serde_json::from_str(over_naive.expect("a line of ratios")).expect("JSON");
    let most = ratios["stall"]["max"].as_f64().expect("a number");
    assert!(most < 1.0, "stall over naive {most}");
}

/// With room in the caches and adapters at several engines, less is read twice, and requests wait no
/// longer for adapters.
#[test]
fn conversations_that_meet_find_more_cached() {
    let measured = |mode| {
        let load = "--zipf 1.6 --rate 6 --cache 200000 --brief --prefix";
        let flags: Vec<&str> = load.split(' ').chain([mode]).collect();
        let lines = measure(&args(&flags));
        let ours = lines.iter().find(|l| l.contains(r#""summary":"ours""#));
        let line: serde_json::Value = serde_json::from_str(ours.expect("a line")).expect("JSON");
        let mean = |at| line.pointer(at).and_then(|v| v["mean"].as_f64());
        (
            mean("/prefix/prefill_s").unwrap(),
            mean("/stall_s").unwrap(),
        )
    };
    let (blind, meeting) = (measured("blind"), measured("meeting"));
    assert!(
        meeting.0 < 0.95 * blind.0 && meeting.1 < 1.1 * blind.1,
        "{meeting:?} over {blind:?}"
    );
}
