//! Command-line flags, parsed one at a time so that all invalid flags are reported.

use std::collections::BTreeMap;

use argh::EarlyExit;

use super::fault::{SettingFault, SettingFaultKind};
use super::resolver::{flag_name, variable_name};

/// Function that parses one flag with its value.
pub(super) type ParseFlag = fn(&str, &[&str]) -> Result<BTreeMap<&'static str, String>, EarlyExit>;

/// Result of parsing all flags.
#[derive(Default)]
pub(super) struct ParsedFlags {
    pub(super) values: BTreeMap<&'static str, String>,
    pub(super) faults: Vec<SettingFault>,
    /// Help text, if it was requested.
    pub(super) help: Option<String>,
}

pub(super) fn parse_flags(program: &str, args: &[&str], parse_flag: ParseFlag) -> ParsedFlags {
    let mut parsed = ParsedFlags::default();
    let mut unparsed = args;
    while let Some(length) = flag_length(unparsed) {
        let (flag, remaining) = unparsed.split_at(length);
        unparsed = remaining;
        match parse_flag(program, flag) {
            Ok(values) => parsed.add(values),
            Err(exit) if exit.status.is_ok() => parsed.help = Some(exit.output),
            Err(exit) => parsed.faults.push(bad_flag(flag[0], &exit.output)),
        }
    }
    parsed
}

impl ParsedFlags {
    fn add(&mut self, values: BTreeMap<&'static str, String>) {
        for (name, text) in values {
            if self.values.insert(name, text).is_some() {
                self.faults.push(SettingFault {
                    flag: flag_name(name),
                    variable: variable_name(name),
                    kind: SettingFaultKind::Twice,
                });
            }
        }
    }
}

/// Number of arguments in the first flag with its value, or `None` if none are left.
fn flag_length(args: &[&str]) -> Option<usize> {
    let first = args.first()?;
    let standalone = !first.starts_with("--") || first.contains('=') || *first == "--help";
    let has_value = args.get(1).is_some_and(|next| !next.starts_with("--"));
    Some(if !standalone && has_value { 2 } else { 1 })
}

fn bad_flag(flag: &str, output: &str) -> SettingFault {
    let detail = output.lines().next().unwrap_or("malformed").trim();
    SettingFault {
        flag: flag.into(),
        variable: "no environment variable".into(),
        kind: SettingFaultKind::BadFlag {
            detail: detail.into(),
        },
    }
}
