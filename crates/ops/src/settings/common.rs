//! Settings common to all daemons.

use std::net::SocketAddr;
use std::time::Duration;

use pumicecleat_types::{DataCentre, RegionId, VmId};

use super::{DescriptorLimit, HumanDuration, Resolver, SettingSpec};
use crate::{Level, LogFormat, LogOptions};

/// Settings common to all daemons.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre of this VM.
    pub centre: DataCentre,
    /// Region of this VM.
    pub region: RegionId,
    /// Most verbose level that is logged.
    pub log_level: Level,
    /// Format of a log line.
    pub log_format: LogFormat,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Longest wait for requests in flight after the first stop signal.
    pub drain_limit: Duration,
    /// Descriptors that the process may have open; the system's limit without it.
    pub descriptor_limit: Option<DescriptorLimit>,
}

impl CommonSettings {
    /// Log options for `program`.
    #[must_use]
    pub fn log_options(&self, program: &str) -> LogOptions {
        LogOptions {
            level: self.log_level,
            format: self.log_format,
            origin: format!("{program}/{}", self.vm),
            ..LogOptions::default()
        }
    }

    #[doc(hidden)]
    #[must_use]
    pub fn specs() -> Vec<SettingSpec> {
        let spec = |name, default, unit| SettingSpec {
            name,
            default,
            unit,
        };
        vec![
            spec("vm", "", "name"),
            spec("data_centre", "", "name"),
            spec("region", "", "name"),
            spec("log_level", "info", "off|error|warn|info|debug"),
            spec("log_format", "text", "text|json"),
            spec("admin", "127.0.0.1:9464", "ip:port"),
            spec("drain_limit", "60s", "span"),
            spec("descriptor_limit", "", "descriptors"),
        ]
    }

    #[doc(hidden)]
    pub fn resolve(resolver: &mut Resolver<'_>) -> Option<Self> {
        let vm = resolver.value("vm");
        let centre = resolver.value("data_centre");
        let region = resolver.value("region");
        let log_level = resolver.value("log_level");
        let log_format = resolver.value("log_format");
        let admin = resolver.value("admin");
        let drain_limit = resolver.value::<HumanDuration>("drain_limit");
        let descriptor_limit = resolver.value("descriptor_limit");
        Some(Self {
            vm: vm?,
            centre: centre?,
            region: region?,
            log_level: log_level?,
            log_format: log_format?,
            admin: admin?,
            drain_limit: drain_limit?.0,
            descriptor_limit: descriptor_limit?,
        })
    }
}
