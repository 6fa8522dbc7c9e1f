//! A process that its test started, and ends by its id.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use super::{SPAN, until};

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

    /// Entry.
    pub fn entry(args: &[&str]) -> Self {
        Self::start("pumicecleat-entry", args)
    }

    /// Side.
    pub fn side(args: &[&str]) -> Self {
        Self::start("pumicecleat-side", args)
    }

    fn start(program: &str, args: &[&str]) -> Self {
        let mut child = command(program)
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
            "{program} did not start: {line:?}"
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
    let mut path = PathBuf::from(env!("CARGO_BIN_EXE_pumicecleat"));
    path.set_file_name(program);
    assert!(
        path.exists(),
        "build the whole workspace first: cargo test --workspace"
    );
    Command::new(path)
}

/// Processes log to the terminal only if asked to.
fn stderr() -> Stdio {
    if std::env::var_os("PUMICECLEAT_TEST_LOGS").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}
