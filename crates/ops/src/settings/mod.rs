//! Settings: flag over environment over default, checked whole, every fault at once.
//!
//! [`settings!`](crate::settings!) takes one row a setting and makes a typed struct and its `argh`
//! flags. `argh` knows no environment: the name there follows from the flag, `--drain-limit` being
//! `PUMICECLEAT_DRAIN_LIMIT`, and [`Resolver`] chooses between the two and the default.

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
pub use value::{ByteSize, HumanDuration, SettingValue};
