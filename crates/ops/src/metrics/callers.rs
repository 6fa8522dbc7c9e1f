//! Metrics of what is held for callers, and of what was refused or closed for lack of room.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use pumicecleat_net::{Cause, MemoryReading};

/// Collector of the metrics of a memory budget.
#[derive(Debug)]
pub(super) struct CallerMetrics {
    reading: MemoryReading,
}

impl CallerMetrics {
    pub(super) fn new(reading: MemoryReading) -> Self {
        Self { reading }
    }
}

impl Collector for CallerMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let gauges = [
            (
                "caller_memory_bytes",
                "Memory leased for callers",
                self.reading.held(),
            ),
            (
                "caller_memory_limit_bytes",
                "Memory that may be leased for callers",
                self.reading.capacity(),
            ),
        ];
        for (name, help, bytes) in gauges {
            let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            ConstGauge::new(bytes).encode(metric)?;
        }
        let help = "Refused or closed for lack of room, by cause";
        let mut family =
            encoder.encode_descriptor("callers_turned_away", help, None, MetricType::Counter)?;
        for cause in Cause::ALL {
            let labels = [("cause", cause.as_str())];
            let counter = ConstCounter::new(self.reading.counted(cause));
            counter.encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}
