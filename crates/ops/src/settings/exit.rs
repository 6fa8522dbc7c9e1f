//! Reading the settings of a daemon, and the reasons to exit instead.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::process::ExitCode;

use argh::EarlyExit;

use super::flags::parse_flags;
use super::resolver::{flag_name, variable_name};
use super::{Resolver, SettingFault, SettingSpec, process_environment};
use crate::{Log, LogOptions, events, field};

/// Exit status if a setting is invalid.
const FAULT_STATUS: u8 = 2;

/// Reason why a process exits instead of starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsExit {
    /// Help was requested.
    Help(String),
    /// Settings are invalid.
    Faults(Vec<SettingFault>),
}

impl SettingsExit {
    /// Prints the help or logs all faults, and returns the exit status.
    #[must_use]
    pub fn report(&self, program: &str) -> ExitCode {
        match self {
            Self::Help(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Self::Faults(faults) => {
                log_faults(program, faults);
                ExitCode::from(FAULT_STATUS)
            }
        }
    }
}

fn log_faults(program: &str, faults: &[SettingFault]) {
    let options = LogOptions {
        origin: program.into(),
        ..LogOptions::default()
    };
    let log = Log::new_ext(&options);
    for fault in faults {
        log.emit(&events::SETTING_FAULT, &[field("fault", fault)]);
    }
}

/// Settings of a daemon, as declared with [`settings!`](crate::settings!).
pub trait Settings: Sized {
    /// Declared settings.
    fn specs() -> Vec<SettingSpec>;

    /// Parses `args` into texts by field name.
    ///
    /// # Errors
    /// `EarlyExit` of `argh`, if help was requested or a flag is invalid.
    fn parse_flag(
        program: &str,
        args: &[&str],
    ) -> Result<BTreeMap<&'static str, String>, EarlyExit>;

    /// Builds the settings, or returns `None` if one has a fault.
    fn resolve(resolver: &mut Resolver<'_>) -> Option<Self>;

    /// Reads the settings from `args` (without the program name), then `environment`, then the defaults.
    ///
    /// # Errors
    /// [`SettingsExit`], with the help or with all faults.
    fn read(
        program: &str,
        args: &[&str],
        environment: &BTreeMap<String, String>,
    ) -> Result<Self, SettingsExit> {
        let specs = Self::specs();
        let parsed = parse_flags(program, args, Self::parse_flag);
        if let Some(help) = parsed.help {
            return Err(SettingsExit::Help(with_environment(&help, &specs)));
        }
        let mut faults = parsed.faults;
        let mut resolver = Resolver::new(&specs, &parsed.values, environment);
        let settings = Self::resolve(&mut resolver);
        faults.extend(resolver.into_faults());
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsExit::Faults(faults)),
        }
    }

    /// Reads the settings of this process.
    ///
    /// # Errors
    /// [`SettingsExit`], with the help or with all faults.
    fn from_process(program: &str) -> Result<Self, SettingsExit> {
        let args: Vec<String> = std::env::args_os()
            .skip(1)
            .map(|arg| arg.to_string_lossy().into_owned())
            .collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        Self::read(program, &args, &process_environment())
    }
}

/// Adds a table of units, environment variables and defaults to the help.
fn with_environment(help: &str, specs: &[SettingSpec]) -> String {
    let mut text = format!(
        "{}\n\nUnits, environment variables and defaults; a flag overrides the environment:\n",
        help.trim_end()
    );
    for spec in specs {
        let flag = flag_name(spec.name);
        let variable = variable_name(spec.name);
        let default = match spec.default {
            "" => "none",
            text => text,
        };
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "  {flag:<22} {:<28} {variable}, default {default}",
            spec.unit
        );
    }
    text
}
