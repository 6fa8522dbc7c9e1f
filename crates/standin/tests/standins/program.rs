//! The program: each kind prints its address on one line and serves there.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use crate::bench::{Peer, test};

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself; the test's verdict stands either way.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Program {
    fn start(kind: &str) -> (Self, SocketAddr) {
        let child = Command::new(env!("CARGO_BIN_EXE_pumicecleat-standin"))
            .args([kind, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut program = Self(child);
        let mut line = String::new();
        let out = program.0.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.strip_prefix("listening ").unwrap().trim_end();
        (program, address.parse().unwrap())
    }
}

#[test]
fn each_kind_serves_where_it_says() {
    test(|timer| async move {
        for kind in ["engine", "service", "store", "log", "vms"] {
            let (_program, address) = Program::start(kind);
            let answer = Peer::new(address, &timer).get("/faults").await;
            assert_eq!(answer.status, 200, "{kind}");
        }
    });
}
