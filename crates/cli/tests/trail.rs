//! The trail of a request over logs of processes whose clocks differ.

use pumicecleat_cli::gather;

struct Case {
    name: &'static str,
    lines: &'static [&'static str],
    /// Time, what the clock was off by, and the event of each step.
    steps: &'static [(i64, i64, &'static str)],
}

const PASSED: &str = r#"{"time":"2026-12-02T10:00:02.500Z","level":"info","origin":"gateway/edge-1","code":"E7101","event":"passed_on","fields":{"request":"r1","turn_ms":900,"total_ms":1500}}"#;
const REFUSED: &str = r#"{"time":"2026-12-02T10:00:01.600Z","level":"info","origin":"agent/side-1","code":"E7206","event":"engine_turn_refused","fields":{"request":"r1","reason":"no_place","waited_ms":590}}"#;
const LOST: &str = r#"{"time":"2026-12-02T10:00:01.300Z","level":"info","origin":"gateway/edge-1","code":"E7104","event":"attempt_lost","fields":{"request":"r1","step":"send"}}"#;
const AHEAD: &str = r#"{"time":"2026-12-02T10:00:07.500Z","level":"info","origin":"agent/side-2","code":"E7206","event":"engine_turn_refused","fields":{"request":"r1","reason":"late","waited_ms":100}}"#;
const BEHIND: &str = r#"{"time":"2026-12-02T09:59:59.000Z","level":"info","origin":"agent/side-3","code":"E7206","event":"engine_turn_refused","fields":{"request":"r1","reason":"late","waited_ms":100}}"#;
const OTHER: &str = r#"{"time":"2026-12-02T10:00:01.000Z","level":"info","origin":"gateway/edge-1","code":"E7101","event":"passed_on","fields":{"request":"r2","total_ms":10}}"#;

const CASES: [Case; 5] = [
    Case {
        name: "in the order of time, whatever the order of the files",
        lines: &[PASSED, LOST, REFUSED],
        steps: &[
            (300, 0, "E7104 attempt_lost"),
            (600, 0, "E7206 engine_turn_refused"),
            (1_500, 0, "E7101 passed_on"),
        ],
    },
    Case {
        name: "a clock that is ahead: its line is from before the answer",
        lines: &[AHEAD, PASSED],
        steps: &[
            (1_500, 5_000, "E7206 engine_turn_refused"),
            (1_500, 0, "E7101 passed_on"),
        ],
    },
    Case {
        name: "a clock that is behind: its wait began after the request came",
        lines: &[BEHIND, PASSED],
        steps: &[
            (100, -2_100, "E7206 engine_turn_refused"),
            (1_500, 0, "E7101 passed_on"),
        ],
    },
    Case {
        name: "other requests, other programs and a collector's words are passed over",
        lines: &[OTHER, "started {not json", "", PASSED],
        steps: &[(1_500, 0, "E7101 passed_on")],
    },
    Case {
        name: "nothing of it",
        lines: &[OTHER],
        steps: &[],
    },
];

#[test]
fn lines_of_one_request_are_put_in_order_over_all_processes() {
    for case in CASES {
        let text = case.lines.join("\n");
        let steps = gather("r1", &text);
        let short: Vec<(i64, i64, &str)> = steps
            .iter()
            .map(|s| (s.at_ms, s.skew_ms, s.event.as_str()))
            .collect();
        assert_eq!(short, case.steps, "{}", case.name);
    }
}

#[test]
fn what_a_collector_puts_before_a_line_does_not_hide_it() {
    let text = format!("   12.330 edge-1 {PASSED}");
    let steps = gather("r1", &text);
    assert_eq!(steps.len(), 1);
    assert_eq!(steps[0].fields, "total_ms=1500 turn_ms=900");
}
