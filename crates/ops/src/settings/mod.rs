//! Settings from flags, the environment and defaults, in this order of precedence. All faults are
//! reported at once.
//!
//! [`settings!`](crate::settings!) generates a typed struct and its `argh` flags from a list of
//! settings. `argh` does not read the environment, so [`Resolver`] does: the variable is derived from
//! the flag, such as `PUMICECLEAT_DRAIN_LIMIT` from `--drain-limit`.

mod common;
mod declare;
mod exit;
mod fault;
mod flags;
mod resolver;
mod value;

pub use common::CommonSettings;
pub use exit::{Settings, SettingsExit};
pub use fault::{SettingFault, SettingFaultKind, SettingOrigin};
pub use resolver::{Resolver, SettingSpec, process_environment};
pub use value::{ByteSize, DescriptorLimit, HumanDuration, MemoryLimit, SettingValue};
