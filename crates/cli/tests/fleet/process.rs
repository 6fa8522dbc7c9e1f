//! A process that its test started, and ends by its id.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use super::{SPAN, until};

/// System calls that are traced: of processes, `io_uring` and shared memory.
const TRACED: &str = "trace=process,io_uring_setup,io_uring_enter,io_uring_register,shmget,shmat,\
    memfd_create,mmap";

/// A running process.
pub struct Process {
    child: Child,
    /// Address of its main listener.
    pub address: String,
    /// Address of an entry's listener for sides.
    pub peer: String,
    /// Address of its admin listener.
    pub admin: String,
}

impl Process {
    /// Stand-in of a kind.
    pub fn standin(kind: &str, args: &[&str]) -> Self {
        let mut all = vec![kind, "--listen", "127.0.0.1:0"];
        all.extend(args);
        Self::start("pumicecleat-standin", &all)
    }

    /// Entry, traced into a file if one is given.
    pub fn entry(args: &[&str], trace: Option<&Path>) -> Self {
        Self::program("pumicecleat-entry", args, trace)
    }

    /// Side, traced into a file if one is given.
    pub fn side(args: &[&str], trace: Option<&Path>) -> Self {
        Self::program("pumicecleat-side", args, trace)
    }

    fn program(program: &str, args: &[&str], trace: Option<&Path>) -> Self {
        match trace {
            Some(trace) => Self::start_traced(program, args, trace),
            None => Self::start(program, args),
        }
    }

    fn start(program: &str, args: &[&str]) -> Self {
        Self::start_by(command(program), args)
    }

    /// Starts a program under the system call trace of `strace`, which ends with it.
    fn start_traced(program: &str, args: &[&str], trace: &Path) -> Self {
        let mut tracer = Command::new("strace");
        // By -D the program itself is this test's child, and gets its signals.
        tracer.args(["-D", "-f", "-o"]).arg(trace);
        tracer.args(["-e", TRACED]).arg(path(program));
        Self::start_by(tracer, args)
    }

    fn start_by(mut command: Command, args: &[&str]) -> Self {
        let mut child = command
            .args(args)
            .stdout(Stdio::piped())
            .stderr(stderr())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        let after = |name: &str| {
            let at = words.iter().position(|w| *w == name);
            at.and_then(|n| words.get(n + 1))
                .map_or_else(String::new, |w| (*w).to_owned())
        };
        assert!(
            !after("listening").is_empty(),
            "{command:?} did not start: {line:?}"
        );
        Self {
            child,
            address: after("listening"),
            peer: after("peers"),
            admin: after("admin"),
        }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
        assert!(sent.success());
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + SPAN;
        until("the process ends", || {
            Instant::now() >= end || self.child.try_wait().unwrap().is_some()
        });
        self.child.try_wait().unwrap().expect("it does not end")
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Command of a program of this workspace, built beside this test.
pub fn command(program: &str) -> Command {
    Command::new(path(program))
}

fn path(program: &str) -> PathBuf {
    let mut path = PathBuf::from(env!("CARGO_BIN_EXE_pumicecleat"));
    path.set_file_name(program);
    assert!(
        path.exists(),
        "build the whole workspace first: cargo test --workspace"
    );
    path
}

/// Processes log to the terminal only if asked to.
fn stderr() -> Stdio {
    if std::env::var_os("PUMICECLEAT_TEST_LOGS").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}
