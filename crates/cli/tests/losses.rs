//! The loss report: outcome and main cause of each request, and what is passed over.

use std::path::PathBuf;
use std::process::{Command, Output};

use pumicecleat_cli::LossReport;

/// Time of a line, and the line's fields.
struct Line {
    second: u32,
    origin: &'static str,
    code: &'static str,
    fields: &'static str,
}

impl Line {
    fn json(&self) -> String {
        let Self {
            second,
            origin,
            code,
            fields,
        } = self;
        format!(
            r#"{{"time":"2026-12-02T10:00:{second:02}.000Z","level":"info","origin":"{origin}","code":"{code}","event":"e","fields":{{{fields}}}}}"#
        )
    }
}

const fn line(second: u32, origin: &'static str, code: &'static str, fields: &'static str) -> Line {
    Line {
        second,
        origin,
        code,
        fields,
    }
}

const GATEWAY: &str = "gateway/edge-bp-a-2";
const OTHER_GATEWAY: &str = "gateway/edge-kecs-1";
const AGENT: &str = "agent/side-1";

/// Response on time, with all fields.
const ON_TIME: Line = line(
    1,
    GATEWAY,
    "E7101",
    r#""request":"r1","fingerprint":"f1","route":"chat","account":"school","objective_ms":800,"status":200,"turn_ms":300,"first_ms":800,"pause_ms":400,"pause_limit_ms":400,"whole":true"#,
);

/// The same, 700 of 900 ms spent waiting for a turn.
const LATE_TURN: Line = line(
    2,
    GATEWAY,
    "E7101",
    r#""request":"r2","route":"chat","account":"school","objective_ms":800,"status":200,"turn_ms":700,"first_ms":900,"pause_ms":0,"pause_limit_ms":400,"whole":true"#,
);

struct Case {
    name: &'static str,
    lines: &'static [Line],
    /// Requests that were on time, late, refused and failed.
    outcomes: [u64; 4],
    /// Causes with their number, in the order of the report.
    causes: &'static [(u64, &'static str)],
}

const CASES: [Case; 16] = [
    Case {
        name: "at the objective and at the longest pause is on time",
        lines: &[ON_TIME],
        outcomes: [1, 0, 0, 0],
        causes: &[],
    },
    Case {
        name: "the wait for a turn by the state of the adapter, also if the agent's line comes later",
        lines: &[
            LATE_TURN,
            line(
                2,
                AGENT,
                "E7205",
                r#""request":"r2","hold":"absent","waited_ms":690"#,
            ),
        ],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: wait for a turn, adapter absent")],
    },
    Case {
        name: "the longest of several turns tells the state",
        lines: &[
            line(
                1,
                AGENT,
                "E7205",
                r#""request":"r2","hold":"kept","waited_ms":650"#,
            ),
            line(
                2,
                AGENT,
                "E7205",
                r#""request":"r2","hold":"held","waited_ms":0"#,
            ),
            line(
                2,
                AGENT,
                "E7205",
                r#""request":"r9","hold":"coming","waited_ms":900"#,
            ),
            LATE_TURN,
        ],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: wait for a turn, adapter kept")],
    },
    Case {
        name: "a base model needs no adapter",
        lines: &[
            line(
                2,
                AGENT,
                "E7205",
                r#""request":"r2","hold":"","waited_ms":690"#,
            ),
            LATE_TURN,
        ],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: wait for a turn, base model")],
    },
    Case {
        name: "a wait without the agent's log",
        lines: &[LATE_TURN],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: wait for a turn, adapter state unknown")],
    },
    Case {
        name: "prefill is the larger part",
        lines: &[line(
            1,
            GATEWAY,
            "E7101",
            r#""request":"r1","route":"chat","objective_ms":800,"status":200,"turn_ms":400,"first_ms":801,"pause_ms":900,"pause_limit_ms":400,"whole":true"#,
        )],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: prefill at the engine")],
    },
    Case {
        name: "both parts are equal: the wait came first",
        lines: &[line(
            1,
            GATEWAY,
            "E7101",
            r#""request":"r1","route":"chat","objective_ms":799,"status":200,"turn_ms":400,"first_ms":800,"whole":true"#,
        )],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: wait for a turn, adapter state unknown")],
    },
    Case {
        name: "a plain service has no turn",
        lines: &[line(
            1,
            GATEWAY,
            "E7101",
            r#""request":"r1","route":"book","objective_ms":100,"status":200,"turn_ms":0,"first_ms":101,"whole":true"#,
        )],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: response of the upstream")],
    },
    Case {
        name: "a turn at once, and a long prefill",
        lines: &[
            line(
                1,
                AGENT,
                "E7205",
                r#""request":"r1","hold":"held","waited_ms":0"#,
            ),
            line(
                1,
                GATEWAY,
                "E7101",
                r#""request":"r1","route":"chat","objective_ms":100,"status":200,"turn_ms":0,"first_ms":101,"whole":true"#,
            ),
        ],
        outcomes: [0, 1, 0, 0],
        causes: &[(1, "late: prefill at the engine")],
    },
    Case {
        name: "a pause above the route's limit, and one on a route without a limit",
        lines: &[
            line(
                1,
                GATEWAY,
                "E7101",
                r#""request":"r1","route":"chat","objective_ms":800,"status":200,"turn_ms":0,"first_ms":9,"pause_ms":401,"pause_limit_ms":400,"whole":true"#,
            ),
            line(
                1,
                GATEWAY,
                "E7101",
                r#""request":"r2","route":"chat","objective_ms":800,"status":200,"turn_ms":0,"first_ms":9,"pause_ms":9000,"pause_limit_ms":0,"whole":true"#,
            ),
        ],
        outcomes: [1, 1, 0, 0],
        causes: &[(1, "late: pause between events")],
    },
    Case {
        name: "a cut response is failed, also when it was late",
        lines: &[line(
            1,
            GATEWAY,
            "E7101",
            r#""request":"r1","route":"chat","objective_ms":800,"status":200,"turn_ms":0,"first_ms":900,"whole":false"#,
        )],
        outcomes: [0, 0, 0, 1],
        causes: &[(1, "cut")],
    },
    Case {
        name: "an upstream's own failure is not served on time",
        lines: &[
            line(
                1,
                GATEWAY,
                "E7101",
                r#""request":"r1","route":"book","objective_ms":100,"status":500,"turn_ms":0,"first_ms":9,"whole":true"#,
            ),
            line(
                1,
                GATEWAY,
                "E7101",
                r#""request":"r2","route":"book","objective_ms":100,"status":404,"turn_ms":0,"first_ms":9,"whole":true"#,
            ),
        ],
        outcomes: [1, 0, 0, 1],
        causes: &[(1, "status 500 of the upstream")],
    },
    Case {
        name: "a second refusal by time, not by the order of lines; the largest cause first",
        lines: &[
            line(
                9,
                OTHER_GATEWAY,
                "E7102",
                r#""request":"r3","fingerprint":"f1","route":"chat","reason":"late""#,
            ),
            line(
                8,
                OTHER_GATEWAY,
                "E7102",
                r#""request":"r2","fingerprint":"f1","route":"chat","reason":"late""#,
            ),
            line(
                7,
                GATEWAY,
                "E7102",
                r#""request":"r1","fingerprint":"f1","route":"chat","reason":"allowance""#,
            ),
            line(
                7,
                GATEWAY,
                "E7102",
                r#""request":"r4","fingerprint":"f2","route":"chat","reason":"late""#,
            ),
        ],
        outcomes: [0, 0, 4, 0],
        causes: &[
            (2, "refused again"),
            (1, "refused: allowance"),
            (1, "refused: late"),
        ],
    },
    Case {
        name: "refusals without a fingerprint are no repeats of each other",
        lines: &[
            line(
                1,
                GATEWAY,
                "E7102",
                r#""request":"r1","fingerprint":"","route":"","reason":"no_route""#,
            ),
            line(
                2,
                GATEWAY,
                "E7102",
                r#""request":"r2","fingerprint":"","route":"","reason":"no_route""#,
            ),
        ],
        outcomes: [0, 0, 2, 0],
        causes: &[(2, "refused: no_route")],
    },
    Case {
        name: "a response after a refusal, an unknown outcome, and a caller that left",
        lines: &[
            line(
                0,
                GATEWAY,
                "E7102",
                r#""request":"r0","fingerprint":"f1","route":"chat","reason":"late""#,
            ),
            ON_TIME,
            line(
                3,
                GATEWAY,
                "E7103",
                r#""request":"r3","route":"chat","reason":"no_answer","status":504"#,
            ),
            line(4, GATEWAY, "E7105", r#""request":"r4","route":"chat""#),
        ],
        outcomes: [1, 0, 1, 2],
        causes: &[
            (1, "caller left"),
            (1, "refused: late"),
            (1, "unknown outcome"),
        ],
    },
    Case {
        name: "one attempt that is lost ends no request",
        lines: &[
            line(
                1,
                GATEWAY,
                "E7104",
                r#""request":"r1","step":"send","ran":false"#,
            ),
            ON_TIME,
        ],
        outcomes: [1, 0, 0, 0],
        causes: &[],
    },
];

fn text(lines: &[Line]) -> String {
    lines.iter().map(|l| l.json() + "\n").collect()
}

/// Numbers in the row of all requests, without their sum.
fn outcomes(report: &str) -> Vec<u64> {
    let row = report.lines().find_map(|l| l.strip_prefix("all "));
    let numbers = row.unwrap_or_default().split_whitespace();
    numbers.skip(1).map(|n| n.parse().unwrap()).collect()
}

/// Causes with their number.
fn causes(report: &str) -> Vec<(u64, String)> {
    let lines = report.lines().skip_while(|l| !l.ends_with("main cause"));
    let lines = lines.skip(1).take_while(|l| !l.is_empty());
    lines
        .map(|l| {
            let (number, cause) = l.trim_start().split_once("  ").unwrap();
            (number.parse().unwrap(), cause.to_owned())
        })
        .collect()
}

/// Guards against requests counted under a wrong outcome or cause, or more than once.
#[test]
fn each_request_has_one_outcome_and_one_main_cause() {
    for case in CASES {
        let report = LossReport::read(&text(case.lines)).to_string();
        assert_eq!(outcomes(&report), case.outcomes, "{}", case.name);
        let expected: Vec<(u64, String)> = case
            .causes
            .iter()
            .map(|(number, cause)| (*number, (*cause).to_owned()))
            .collect();
        assert_eq!(causes(&report), expected, "{}", case.name);
    }
}

const REPORT: &str = "\
route / account / data centre  requests   on time      late   refused    failed
all                                   4         2         1         1         0
  (none)                              1         0         0         1         0
    (none)                            1         0         0         1         0
      edge-1                          1         0         0         1         0
  chat                                3         2         1         0         0
    (none)                            1         1         0         0         0
      kecs                            1         1         0         0         0
    school                            2         1         1         0         0
      bp-a                            2         1         1         0         0

requests  main cause
       1  late: wait for a turn, adapter state unknown
       1  refused: no_route

lines: 4 ends of requests, 1 turns; passed over: 1 of other events, 1 not of a log, 1 ends of requests that lack a field; 1 ends of requests name no objective and count as never late
";

/// Guards against wrong sums, groups and columns, and against lines that are left out without a word.
#[test]
fn requests_are_counted_by_route_account_and_data_centre() {
    let lines = [
        ON_TIME,
        LATE_TURN,
        line(
            3,
            OTHER_GATEWAY,
            "E7101",
            r#""request":"r3","route":"chat","status":200,"turn_ms":0,"first_ms":9000,"whole":true"#,
        ),
        line(
            4,
            "gateway/edge-1",
            "E7102",
            r#""request":"r4","fingerprint":"","route":"","account":"","objective_ms":0,"reason":"no_route""#,
        ),
        line(5, GATEWAY, "E7101", r#""request":"r5","route":"chat""#),
        line(
            5,
            AGENT,
            "E7205",
            r#""request":"r6","hold":"held","waited_ms":1"#,
        ),
        line(6, GATEWAY, "E7004", r#""number":3"#),
    ];
    let mut prefixed: Vec<String> = lines
        .iter()
        .map(|l| format!("12.330 vm-7 {}\n", l.json()))
        .collect();
    prefixed.push("panicked at {\n".to_owned());
    let report = LossReport::read(&prefixed.join("\n"));
    assert_eq!(report.to_string(), REPORT);
}

fn write(name: &str, lines: &[Line]) -> String {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("losses-{}-{name}", std::process::id()));
    std::fs::write(&path, text(lines)).unwrap();
    path.to_str().unwrap().to_owned()
}

fn run(files: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumicecleat"));
    command.arg("losses").args(files).output().unwrap()
}

struct Run {
    files: &'static [&'static str],
    status: i32,
    /// Part of what is printed to the standard error.
    error: &'static str,
}

const RUNS: [Run; 4] = [
    Run {
        files: &["gateway", "agent"],
        status: 0,
        error: "",
    },
    Run {
        files: &["gateway", "missing"],
        status: 2,
        error: "step read file, file ",
    },
    Run {
        files: &["agent"],
        status: 1,
        error: "no line of a gateway about the end of a request (E7101, E7102, E7103, E7105) in 1 files: lines: 0 ends of requests, 1 turns; ",
    },
    Run {
        files: &[],
        status: 2,
        error: "no file given",
    },
];

/// Guards against an empty report where nothing could be read.
#[test]
fn files_that_tell_of_no_request_are_an_error() {
    let turn = line(
        2,
        AGENT,
        "E7205",
        r#""request":"r2","hold":"coming","waited_ms":690"#,
    );
    let gateway = write("gateway", &[LATE_TURN]);
    let agent = write("agent", &[turn]);
    for case in RUNS {
        let files: Vec<&str> = case
            .files
            .iter()
            .map(|name| match *name {
                "gateway" => gateway.as_str(),
                "agent" => agent.as_str(),
                other => other,
            })
            .collect();
        let output = run(&files);
        let error = String::from_utf8(output.stderr).unwrap();
        let files = case.files;
        assert_eq!(
            output.status.code(),
            Some(case.status),
            "{files:?}: {error}"
        );
        assert!(error.starts_with(case.error), "{files:?}: {error}");
        let report = String::from_utf8(output.stdout).unwrap();
        assert_eq!(report.is_empty(), case.status != 0, "{files:?}");
        let is_joined = report.contains("adapter coming");
        assert_eq!(is_joined, case.status == 0, "{files:?}");
    }
    for file in [gateway, agent] {
        std::fs::remove_file(file).unwrap();
    }
}
