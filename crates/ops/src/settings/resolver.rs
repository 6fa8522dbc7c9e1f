//! Resolves each setting from its flag, environment variable or default.

use std::collections::BTreeMap;

use super::{SettingFault, SettingFaultKind, SettingOrigin, SettingValue};

/// Prefix of all environment variables.
const PREFIX: &str = "PUMICECLEAT_";

/// Declaration of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// Name of the field.
    pub name: &'static str,
    /// Default, or empty if there is none.
    pub default: &'static str,
    /// Unit or format, for the help.
    pub unit: &'static str,
}

/// Selects and parses the values of settings, and collects all faults.
#[derive(Debug)]
pub struct Resolver<'a> {
    specs: &'a [SettingSpec],
    flag_values: &'a BTreeMap<&'static str, String>,
    environment: &'a BTreeMap<String, String>,
    faults: Vec<SettingFault>,
}

impl<'a> Resolver<'a> {
    /// Creates a resolver of `specs` with the values from flags and the environment.
    #[must_use]
    pub fn new(
        specs: &'a [SettingSpec],
        flag_values: &'a BTreeMap<&'static str, String>,
        environment: &'a BTreeMap<String, String>,
    ) -> Self {
        Self {
            specs,
            flag_values,
            environment,
            faults: Vec::new(),
        }
    }

    /// Parses the value of the setting `name`. Records a fault and returns `None` if it is invalid.
    pub fn value<T: SettingValue>(&mut self, name: &str) -> Option<T> {
        let (text, origin) = self.choose(name);
        let value = T::parse(text);
        if value.is_none() {
            let kind = fault_kind::<T>(text, origin);
            self.faults.push(SettingFault {
                flag: flag_name(name),
                variable: variable_name(name),
                kind,
            });
        }
        value
    }

    /// Faults found so far.
    #[must_use]
    pub fn into_faults(self) -> Vec<SettingFault> {
        self.faults
    }

    fn choose(&self, name: &str) -> (&'a str, SettingOrigin) {
        if let Some(text) = self.flag_values.get(name) {
            return (text, SettingOrigin::Flag);
        }
        if let Some(text) = self.environment.get(&variable_name(name)) {
            return (text, SettingOrigin::Environment);
        }
        let spec = self.specs.iter().find(|spec| spec.name == name);
        (spec.map_or("", |spec| spec.default), SettingOrigin::Default)
    }
}

fn fault_kind<T: SettingValue>(text: &str, origin: SettingOrigin) -> SettingFaultKind {
    let expected = T::expected();
    if text.is_empty() && origin == SettingOrigin::Default {
        return SettingFaultKind::Missing { expected };
    }
    SettingFaultKind::Malformed {
        text: text.into(),
        origin,
        expected,
    }
}

pub(super) fn flag_name(name: &str) -> String {
    format!("--{}", name.replace('_', "-"))
}

pub(super) fn variable_name(name: &str) -> String {
    format!("{PREFIX}{}", name.to_uppercase())
}

/// Environment variables of this process that have the prefix of settings.
///
/// A value that is not UTF-8 is kept with replacement characters, so that it is reported as a fault.
#[must_use]
pub fn process_environment() -> BTreeMap<String, String> {
    std::env::vars_os()
        .map(|(name, text)| (to_lossy_string(&name), to_lossy_string(&text)))
        .filter(|(name, _)| name.starts_with(PREFIX))
        .collect()
}

fn to_lossy_string(text: &std::ffi::OsStr) -> String {
    text.to_string_lossy().into_owned()
}
