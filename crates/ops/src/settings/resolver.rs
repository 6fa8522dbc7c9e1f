//! The choice between flag, environment and default.

use std::collections::BTreeMap;

use super::{Fault, FaultKind, Origin, SettingValue};

/// Start of every name in the environment.
const PREFIX: &str = "PUMICECLEAT_";

/// A declared setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Name of the field.
    pub name: &'static str,
    /// Default, empty for none.
    pub default: &'static str,
    /// Unit or form, for the help.
    pub unit: &'static str,
}

/// Chooses and checks values, and collects every fault.
#[derive(Debug)]
pub struct Resolver<'a> {
    rows: &'a [Row],
    given: &'a BTreeMap<&'static str, String>,
    environment: &'a BTreeMap<String, String>,
    faults: Vec<Fault>,
}

impl<'a> Resolver<'a> {
    /// Resolver of `rows` over the flags given and the environment.
    #[must_use]
    pub fn new(
        rows: &'a [Row],
        given: &'a BTreeMap<&'static str, String>,
        environment: &'a BTreeMap<String, String>,
    ) -> Self {
        Self {
            rows,
            given,
            environment,
            faults: Vec::new(),
        }
    }

    /// Value of the row `name`, or `None` once its fault is noted.
    pub fn value<T: SettingValue>(&mut self, name: &str) -> Option<T> {
        let (text, origin) = self.choose(name);
        let value = T::parse(text);
        if value.is_none() {
            let kind = fault_kind::<T>(text, origin);
            self.faults.push(Fault {
                flag: flag_name(name),
                variable: variable_name(name),
                kind,
            });
        }
        value
    }

    /// Faults so far.
    #[must_use]
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    fn choose(&self, name: &str) -> (&'a str, Origin) {
        if let Some(text) = self.given.get(name) {
            return (text, Origin::Flag);
        }
        if let Some(text) = self.environment.get(&variable_name(name)) {
            return (text, Origin::Environment);
        }
        let row = self.rows.iter().find(|row| row.name == name);
        (row.map_or("", |row| row.default), Origin::Default)
    }
}

fn fault_kind<T: SettingValue>(text: &str, origin: Origin) -> FaultKind {
    let wanted = T::wanted();
    if text.is_empty() && origin == Origin::Default {
        return FaultKind::Missing { wanted };
    }
    FaultKind::Malformed {
        text: text.into(),
        origin,
        wanted,
    }
}

pub(super) fn flag_name(name: &str) -> String {
    format!("--{}", name.replace('_', "-"))
}

pub(super) fn variable_name(name: &str) -> String {
    format!("{PREFIX}{}", name.to_uppercase())
}

/// Names of the process's environment that concern settings.
///
/// A value that is not UTF-8 is kept with replacement characters, so that it shows up as a fault.
#[must_use]
pub fn process_environment() -> BTreeMap<String, String> {
    std::env::vars_os()
        .map(|(name, text)| (lossy(&name), lossy(&text)))
        .filter(|(name, _)| name.starts_with(PREFIX))
        .collect()
}

fn lossy(text: &std::ffi::OsStr) -> String {
    text.to_string_lossy().into_owned()
}
