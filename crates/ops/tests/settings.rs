//! Tests of the precedence of flags, environment and defaults, and of reporting all faults at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pumicecleat_ops::{
    ByteSize, HumanDuration, Level, SettingValue, Settings, SettingsExit, settings,
};

settings! {
    /// Settings for these tests.
    pub struct TestSettings {
        /// address for callers
        listen: SocketAddr = "127.0.0.1:8080", "ip:port";
        /// largest body
        body_limit: ByteSize = "8MiB", "size";
        /// address of the log
        log_service: SocketAddr = "", "ip:port";
        /// addresses of peers
        peers: Vec<SocketAddr> = "", "ip:port,...";
        /// name to show
        label: Option<String> = "", "name";
    }
}

const REQUIRED_ARGS: [&str; 8] = [
    "--vm",
    "v1",
    "--data-centre",
    "bp-a",
    "--region",
    "hu",
    "--log-service",
    "10.0.0.1:7",
];

struct Case {
    args: &'static [&'static str],
    environment: &'static [(&'static str, &'static str)],
    /// Texts that the faults must contain, one for each fault.
    faults: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        args: &[],
        environment: &[],
        faults: &[],
    },
    Case {
        args: &[
            "--listen",
            "nowhere",
            "--admin",
            "1.2.3.4",
            "--body-limit",
            "8MB",
        ],
        environment: &[
            ("PUMICECLEAT_DRAIN_LIMIT", "3"),
            ("PUMICECLEAT_LOG_LEVEL", "loud"),
        ],
        faults: &[
            "--log-level (PUMICECLEAT_LOG_LEVEL): \"loud\" from the environment is not one of",
            "--admin (PUMICECLEAT_ADMIN): \"1.2.3.4\" from the flag is not an IP address",
            "--drain-limit (PUMICECLEAT_DRAIN_LIMIT): \"3\" from the environment",
            "--listen (PUMICECLEAT_LISTEN): \"nowhere\" from the flag",
            "--body-limit (PUMICECLEAT_BODY_LIMIT): \"8MB\" from the flag is not a size",
        ],
    },
    Case {
        args: &[
            "--lisen",
            "127.0.0.1:1",
            "--peers",
            "127.0.0.1:1,x",
            "stray",
        ],
        environment: &[("PUMICECLEAT_LABEL", "two words")],
        faults: &["--lisen", "stray", "--peers", "--label"],
    },
    Case {
        args: &["--vm", "v2", "--label"],
        environment: &[],
        faults: &[
            "No value provided for option '--label'",
            "--vm (PUMICECLEAT_VM): flag given twice",
        ],
    },
    Case {
        args: &[],
        environment: &[("PUMICECLEAT_LISTEN", "")],
        faults: &["--listen (PUMICECLEAT_LISTEN): \"\" from the environment"],
    },
];

fn read(case: &Case, first_args: &[&str]) -> Result<TestSettings, SettingsExit> {
    let args: Vec<&str> = first_args.iter().chain(case.args).copied().collect();
    let owned = |(name, text): &(&str, &str)| ((*name).to_owned(), (*text).to_owned());
    let environment: BTreeMap<_, _> = case.environment.iter().map(owned).collect();
    TestSettings::read("test", &args, &environment)
}

#[test]
fn all_faults_are_reported_at_once() {
    for case in CASES {
        let faults = match read(case, &REQUIRED_ARGS) {
            Ok(_) => Vec::new(),
            Err(SettingsExit::Faults(faults)) => faults.iter().map(ToString::to_string).collect(),
            Err(SettingsExit::Help(help)) => panic!("help: {help}"),
        };
        assert_eq!(faults.len(), case.faults.len(), "{faults:#?}");
        for part in case.faults {
            assert!(
                faults.iter().any(|f| f.contains(part)),
                "{part} not in {faults:#?}"
            );
        }
    }
}

#[test]
fn a_setting_without_default_is_required() {
    let case = Case {
        args: &[],
        environment: &[],
        faults: &[],
    };
    let Err(SettingsExit::Faults(faults)) = read(&case, &[]) else {
        panic!("settings without a VM were accepted");
    };
    let flags: Vec<&str> = faults.iter().map(|f| f.flag.as_str()).collect();
    assert_eq!(
        flags,
        ["--vm", "--data-centre", "--region", "--log-service"]
    );
}

#[test]
fn a_flag_overrides_the_environment_which_overrides_the_default() {
    let case = Case {
        args: &["--listen", "127.0.0.1:1", "--peers", "127.0.0.1:2, [::1]:3"],
        environment: &[
            ("PUMICECLEAT_LISTEN", "malformed, but never parsed"),
            ("PUMICECLEAT_DRAIN_LIMIT", "5m"),
            ("PUMICECLEAT_LOG_LEVEL", "off"),
        ],
        faults: &[],
    };
    let settings = read(&case, &REQUIRED_ARGS).unwrap();
    assert_eq!(settings.listen.port(), 1);
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.common.drain_limit, Duration::from_mins(5));
    assert_eq!(settings.common.log_level, Level::Off);
    assert_eq!(settings.body_limit, ByteSize(8 << 20));
    assert_eq!(settings.label, None);
}

#[test]
fn help_lists_unit_variable_and_default_of_each_flag() {
    let case = Case {
        args: &["--listen", "x", "--help"],
        environment: &[],
        faults: &[],
    };
    let Err(SettingsExit::Help(help)) = read(&case, &[]) else {
        panic!("no help was returned");
    };
    for spec in TestSettings::specs() {
        let flag = format!("--{} ", spec.name.replace('_', "-"));
        let variable = format!("PUMICECLEAT_{},", spec.name.to_uppercase());
        let line = help.lines().find(|l| l.contains(&variable)).unwrap();
        assert!(line.contains(&flag) && line.contains(spec.unit), "{line}");
        assert!(line.contains(spec.default), "{line}");
    }
}

#[test]
fn durations_and_sizes_need_a_known_unit_and_must_fit() {
    let durations = [
        ("250ms", Some(250)),
        ("3s", Some(3000)),
        ("5m", Some(300_000)),
        ("1h", Some(3_600_000)),
        ("0s", Some(0)),
        ("3", None),
        ("s", None),
        ("-3s", None),
        ("1.5s", Some(1500)),
        ("10.0s", Some(10_000)),
        ("2500.25ms", Some(2500)),
        ("1.s", None),
        (".5s", None),
        ("1.2.3s", None),
        ("1e3s", None),
        ("-1.5s", None),
        ("1.5", None),
        ("3 s", None),
        ("", None),
        ("99999999999999999999s", None),
        ("18446744073709551615h", None),
    ];
    for (text, ms) in durations {
        let expected = ms.map(|ms| HumanDuration(Duration::from_millis(ms)));
        assert_eq!(HumanDuration::parse(text), expected, "{text}");
    }
    let numbers = [
        ("54", Some(54.0)),
        ("38.25", Some(38.25)),
        ("0", Some(0.0)),
        ("-1", None),
        ("1e3", None),
        ("NaN", None),
        ("inf", None),
        (".5", None),
        ("5.", None),
        ("", None),
    ];
    for (text, number) in numbers {
        assert_eq!(f64::parse(text), number, "{text}");
    }
    let sizes = [
        ("512", Some(512)),
        ("1B", Some(1)),
        ("64KiB", Some(65536)),
        ("1GiB", Some(1 << 30)),
        ("64kib", None),
        ("64K", None),
        ("17179869184GiB", None),
        ("", None),
    ];
    for (text, bytes) in sizes {
        assert_eq!(ByteSize::parse(text), bytes.map(ByteSize), "{text}");
    }
}
