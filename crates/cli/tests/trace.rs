//! System calls of a running entry and of sides: no child process, no `io_uring`, no shared memory.
//!
//! Needs `strace` and the right to trace; says so and passes without.

mod fleet;

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use fleet::{Fleet, FleetOptions, expected_text, until};

const TOKENS: u32 = 40;
const ROUNDS: usize = 5;

/// Calls that start a process or a thread.
const CLONES: [&str; 2] = ["clone(", "clone3("];

/// Calls that a program must never make.
const FORBIDDEN: [&str; 8] = [
    "io_uring_setup(",
    "io_uring_enter(",
    "io_uring_register(",
    "fork(",
    "vfork(",
    "shmget(",
    "shmat(",
    "memfd_create(",
];

/// Folder of the traces, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("pumicecleat-trace-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that is left over harms nothing.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn may_trace() -> bool {
    let mut command = Command::new("strace");
    command.args(["-o", "/dev/null", "true"]);
    let status = command.stdout(Stdio::null()).stderr(Stdio::null()).status();
    status.is_ok_and(|s| s.success())
}

/// What a trace shows.
#[derive(Debug, Default)]
struct Calls {
    started: usize,
    threads: usize,
    /// Lines that must not be there.
    wrong: Vec<String>,
    exited: bool,
}

fn read(trace: &Path) -> Calls {
    read_lines(&std::fs::read_to_string(trace).unwrap())
}

fn read_lines(trace: &str) -> Calls {
    let mut calls = Calls::default();
    for line in trace.lines() {
        // Each line starts with the thread's id.
        let call = line.split_once(' ').map_or("", |(_, c)| c.trim_start());
        let is_clone = CLONES.iter().any(|c| call.starts_with(c));
        let is_thread = is_clone && call.contains("CLONE_THREAD");
        calls.threads += usize::from(is_thread);
        calls.started += usize::from(call.starts_with("execve("));
        calls.exited |= call.starts_with("+++ exited with 0 +++");
        let forbidden = FORBIDDEN.iter().any(|f| call.starts_with(f));
        let shared = call.starts_with("mmap(") && call.contains("MAP_SHARED");
        if forbidden || shared || (is_clone && !is_thread) {
            calls.wrong.push(line.to_owned());
        }
    }
    calls
}

/// Streams, whole answers, loads, holds, a lost service answer and a stop of each program.
fn use_all(fleet: &mut Fleet) {
    for round in 0..ROUNDS {
        let answer = fleet.stream(0, "sky-brief", TOKENS).finish();
        let text = expected_text("sky-brief@v2", u64::from(TOKENS));
        assert_eq!(answer.streamed(), text, "{answer:?}");
        for model in ["itinerary", "school-mail", "sky-brief@v1"] {
            assert_eq!(fleet.chat(0, model, 3).status, 200, "{model}");
        }
        let key = format!("seat-{round}");
        assert_eq!(fleet.hold(0, &key, "{}").status, 200);
        assert_eq!(fleet.effects(&key), 1);
    }
    for side in fleet.sides.values_mut() {
        side.signal("TERM");
        assert!(side.wait().success());
    }
    fleet.entries[0].signal("TERM");
    assert!(fleet.entries[0].wait().success());
}

#[test]
fn programs_start_no_process_and_use_no_io_uring() {
    if !may_trace() {
        println!("not run: strace is absent or may not trace");
        return;
    }
    let folder = Folder::new();
    let mut fleet = Fleet::start(&FleetOptions {
        engines: 1,
        traces: Some(folder.0.clone()),
        ..FleetOptions::default()
    });
    use_all(&mut fleet);
    for vm in ["entry-0", "engine-0", "booking-0"] {
        let trace = folder.0.join(vm);
        until("the trace is whole", || read(&trace).exited);
        let calls = read(&trace);
        println!("{vm}: {calls:?}");
        assert!(calls.wrong.is_empty(), "{vm}: {calls:?}");
        assert_eq!(calls.started, 1, "{vm}: {calls:?}");
        assert!(calls.threads <= 2, "{vm}: {calls:?}");
    }
}

struct Case {
    line: &'static str,
    is_wrong: bool,
}

#[test]
fn a_trace_with_a_forbidden_call_is_found_out() {
    let cases = [
        Case {
            line: "7 clone3({flags=CLONE_VM|CLONE_THREAD, exit_signal=0}, 88) = 8",
            is_wrong: false,
        },
        Case {
            line: "7 clone3({flags=CLONE_VM|CLONE_VFORK, exit_signal=SIGCHLD}, 88) = 8",
            is_wrong: true,
        },
        Case {
            line: "7 clone(child_stack=NULL, flags=CLONE_CHILD_SETTID|SIGCHLD) = 8",
            is_wrong: true,
        },
        Case {
            line: "7 vfork( <unfinished ...>",
            is_wrong: true,
        },
        Case {
            line: "712  io_uring_setup(128, {flags=0}) = 5",
            is_wrong: true,
        },
        Case {
            line: "7 mmap(NULL, 4096, PROT_READ, MAP_SHARED, 5, 0) = 0x7f0000000000",
            is_wrong: true,
        },
        Case {
            line: "7 mmap(NULL, 4096, PROT_READ, MAP_PRIVATE|MAP_ANONYMOUS, -1, 0) = 0x7f0000000000",
            is_wrong: false,
        },
        Case {
            line: "7 memfd_create(\"x\", 0) = 5",
            is_wrong: true,
        },
    ];
    for case in cases {
        let wrong = read_lines(case.line).wrong;
        assert_eq!(!wrong.is_empty(), case.is_wrong, "{}", case.line);
    }
}
