//! Flags, scanned one by one, so that one bad flag hides no other.

use std::collections::BTreeMap;

use argh::EarlyExit;

use super::fault::{Fault, FaultKind};
use super::resolver::{flag_name, variable_name};

/// Scanner of one flag with its value.
pub(super) type Scan = fn(&str, &[&str]) -> Result<BTreeMap<&'static str, String>, EarlyExit>;

/// What the flags gave.
#[derive(Default)]
pub(super) struct Scanned {
    pub(super) given: BTreeMap<&'static str, String>,
    pub(super) faults: Vec<Fault>,
    /// Help text, if asked for.
    pub(super) help: Option<String>,
}

pub(super) fn scan_flags(program: &str, args: &[&str], scan: Scan) -> Scanned {
    let mut scanned = Scanned::default();
    let mut rest = args;
    while let Some(length) = scan_length(rest) {
        let (one, after) = rest.split_at(length);
        rest = after;
        match scan(program, one) {
            Ok(given) => scanned.add(given),
            Err(exit) if exit.status.is_ok() => scanned.help = Some(exit.output),
            Err(exit) => scanned.faults.push(bad_flag(one[0], &exit.output)),
        }
    }
    scanned
}

impl Scanned {
    fn add(&mut self, given: BTreeMap<&'static str, String>) {
        for (name, text) in given {
            if self.given.insert(name, text).is_some() {
                self.faults.push(Fault {
                    flag: flag_name(name),
                    variable: variable_name(name),
                    kind: FaultKind::Twice,
                });
            }
        }
    }
}

/// Length of the first flag with its value, or `None` at the end.
fn scan_length(args: &[&str]) -> Option<usize> {
    let first = args.first()?;
    let alone = !first.starts_with("--") || first.contains('=') || *first == "--help";
    let valued = args.get(1).is_some_and(|next| !next.starts_with("--"));
    Some(if !alone && valued { 2 } else { 1 })
}

fn bad_flag(flag: &str, output: &str) -> Fault {
    let detail = output.lines().next().unwrap_or("malformed").trim();
    Fault {
        flag: flag.into(),
        variable: "no environment name".into(),
        kind: FaultKind::BadFlag {
            detail: detail.into(),
        },
    }
}
