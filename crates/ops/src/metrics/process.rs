//! Metrics of the process itself, read from `/proc/self` on each scrape.

use std::fmt;
use std::time::Instant;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// Clock ticks per second in `/proc/self/stat`, a constant on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Index of the user time among the fields after the command name in `/proc/self/stat`.
const USER_TIME_FIELD: usize = 11;

/// Collector of the metrics of the process. A metric that can't be read is omitted.
#[derive(Debug)]
pub(super) struct ProcessMetrics {
    start: Instant,
}

impl ProcessMetrics {
    pub(super) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Collector for ProcessMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let uptime = self.start.elapsed().as_secs_f64();
        write_gauge(
            &mut encoder,
            "process_uptime_seconds",
            "Time since start",
            uptime,
        )?;
        if let Some(bytes) = resident_bytes() {
            let help = "Resident memory";
            write_gauge(&mut encoder, "process_resident_memory_bytes", help, bytes)?;
        }
        if let Some(count) = open_descriptors() {
            let help = "Open file descriptors";
            write_gauge(&mut encoder, "process_open_fds", help, count)?;
        }
        if let Some(seconds) = cpu_seconds() {
            let help = "Processor time, user and system";
            let counter = ConstCounter::new(seconds);
            let metric = encoder.encode_descriptor(
                "process_cpu_seconds",
                help,
                None,
                MetricType::Counter,
            )?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

fn write_gauge(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: f64,
) -> Result<(), fmt::Error> {
    let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    ConstGauge::new(value).encode(metric)
}

fn resident_bytes() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024.0)
}

fn open_descriptors() -> Option<f64> {
    let count = std::fs::read_dir("/proc/self/fd").ok()?.count();
    // Reading the directory opens one descriptor.
    u32::try_from(count.saturating_sub(1)).ok().map(f64::from)
}

fn cpu_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The command name may contain spaces, so the fields are counted from its closing parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}
