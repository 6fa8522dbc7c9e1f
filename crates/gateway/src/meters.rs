//! Metrics of the gateway.

use prometheus_client::encoding::EncodeLabelSet;
use pumicecleat_ops::{Counter, Family, Gauge, Histogram, Histograms, Metrics};
use pumicecleat_types::{Millis, ServiceId, SoftwareVersion};

use crate::Unattributed;

/// Upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS: &[f64] = &[
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 2.5, 5.0, 15.0,
];

/// Labels of metrics by service and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) service: String,
    pub(crate) outcome: &'static str,
}

/// Labels of metrics by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

/// Labels of metrics by service and cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabels {
    pub(crate) service: String,
    pub(crate) cause: &'static str,
}

/// Labels of metrics by service and software version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SoftwareLabels {
    pub(crate) service: String,
    pub(crate) software: String,
}

/// Labels of metrics by upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct InstanceLabels {
    pub(crate) instance: String,
}

/// Labels of metrics by account and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AccountLabels {
    pub(crate) account: String,
    pub(crate) outcome: &'static str,
}

/// Label of the metric of proposals: what the relay replied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ProposalLabels {
    pub(crate) outcome: &'static str,
}

/// Label of the metric of suspects: what happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SuspectLabels {
    pub(crate) what: &'static str,
}

pub(crate) struct Meters {
    suspects: Family<SuspectLabels, Counter>,
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    pub(crate) repeats: Family<CauseLabels, Counter>,
    pub(crate) stopped_repeats: Family<CauseLabels, Counter>,
    /// Number of gateways, as agents report it.
    pub(crate) gateways: Gauge,
    pub(crate) first_byte: Histograms<ServiceLabels>,
    /// Longest time between two chunks of a stream.
    stream_pause: Histograms<ServiceLabels>,
    pub(crate) turn_wait: Histogram,
    /// In milliseconds.
    pub(crate) list_age_ms: Gauge,
    /// In milliseconds.
    layout_age_ms: Gauge,
    /// In requests per 1,000 seconds.
    rate_limits: Family<InstanceLabels, Gauge>,
    /// Requests to upstreams with a rate limit.
    limited_requests: Family<OutcomeLabels, Counter>,
    /// Requests of accounts with an allowance.
    account_requests: Family<AccountLabels, Counter>,
    /// Requests that go on with an earlier stream.
    resumptions: Family<OutcomeLabels, Counter>,
    /// Streams that began and may be resumed.
    streams: Family<SoftwareLabels, Counter>,
    /// Responses that were not their upstream's.
    unattributed: Family<CauseLabels, Counter>,
    /// Requests for which a relay was asked for engines.
    proposals: Family<ProposalLabels, Counter>,
}

impl Meters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            suspects: metrics.counters(
                "suspects",
                "Ends of upstreams under requests, and what followed for these",
            ),
            requests: metrics.counters("requests", "Requests, by service and outcome"),
            repeats: metrics.counters("repeats", "Sends beyond the first, by service and cause"),
            stopped_repeats: metrics.counters(
                "stopped_repeats",
                "Sends beyond the first that their limit stopped, by service and cause",
            ),
            gateways: metrics.gauge(
                "gateways",
                "Gateways that share limits, as agents report them; 1 before the first report",
            ),
            first_byte: metrics.histograms(
                "first_byte_seconds",
                "Time to the first byte of an answer",
                TIME_BUCKETS,
            ),
            stream_pause: stream_pause(metrics),
            turn_wait: metrics.histogram(
                "turn_seconds",
                "Wait for a turn at an engine",
                TIME_BUCKETS,
            ),
            rate_limits: metrics.gauges(
                "upstream_limit_per_1000_seconds",
                "Rate limit of an upstream over all gateways",
            ),
            limited_requests: metrics.counters(
                "limited_requests",
                "Requests for upstreams with a rate limit, by service and outcome",
            ),
            layout_age_ms: metrics.gauge(
                "layout_age_milliseconds",
                "Time since which the configuration may have been replaced unnoticed",
            ),
            account_requests: metrics.counters(
                "account_requests",
                "Requests of accounts with an allowance, by account and outcome",
            ),
            resumptions: metrics.counters(
                "resumptions",
                "Requests that take a stream up again: its origin was found, or why not, by service",
            ),
            streams: metrics.counters(
                "resumable_streams",
                "Streams begun that may be resumed, by service and software version",
            ),
            unattributed: unattributed(metrics),
            proposals: metrics.counters(
                "proposals",
                "Requests to a relay for engines: proposed, none, or lost",
            ),
            list_age_ms: metrics.gauge(
                "upstream_list_age_milliseconds",
                "Age of the list of upstreams as this process knows it",
            ),
        }
    }

    /// Sets the time since which the configuration may have been replaced.
    pub(crate) fn set_layout_age(&self, age: Millis) {
        self.layout_age_ms
            .set(i64::try_from(age.0).unwrap_or(i64::MAX));
    }

    /// Sets the rate limit of an upstream, in requests per 1,000 seconds, or removes it.
    pub(crate) fn set_rate_limit(&self, instance: &str, rate: Option<u64>) {
        let labels = InstanceLabels {
            instance: instance.to_owned(),
        };
        match rate {
            Some(rate) => {
                let rate = i64::try_from(rate).unwrap_or(i64::MAX);
                self.rate_limits.get_or_create(&labels).set(rate);
            }
            None => {
                self.rate_limits.remove(&labels);
            }
        }
    }

    /// Records the longest time between two chunks of a stream that ended.
    pub(crate) fn observe_pause(&self, service: &str, pause: Millis) {
        let service = service.to_owned();
        let meter = self.stream_pause.get_or_create(&ServiceLabels { service });
        meter.observe(pause.as_secs());
    }

    pub(crate) fn count_limited(&self, service: &ServiceId, outcome: &'static str) {
        let service = service.to_string();
        let labels = OutcomeLabels { service, outcome };
        self.limited_requests.get_or_create(&labels).inc();
    }

    pub(crate) fn count_allowance(&self, account: &str, outcome: &'static str) {
        let account = account.to_owned();
        let labels = AccountLabels { account, outcome };
        self.account_requests.get_or_create(&labels).inc();
    }

    pub(crate) fn count_resumption(&self, service: &ServiceId, outcome: &'static str) {
        let service = service.to_string();
        let labels = OutcomeLabels { service, outcome };
        self.resumptions.get_or_create(&labels).inc();
    }

    pub(crate) fn count_stream(&self, service: &ServiceId, software: &SoftwareVersion) {
        let labels = SoftwareLabels {
            service: service.to_string(),
            software: software.to_string(),
        };
        self.streams.get_or_create(&labels).inc();
    }

    pub(crate) fn count_unattributed(&self, service: &ServiceId, cause: Unattributed) {
        let labels = CauseLabels {
            service: service.to_string(),
            cause: cause.as_str(),
        };
        self.unattributed.get_or_create(&labels).inc();
    }

    pub(crate) fn count_proposal(&self, outcome: &'static str) {
        let labels = ProposalLabels { outcome };
        self.proposals.get_or_create(&labels).inc();
    }

    pub(crate) fn count_suspect(&self, what: &'static str) {
        self.suspects.get_or_create(&SuspectLabels { what }).inc();
    }
}

fn stream_pause(metrics: &Metrics) -> Histograms<ServiceLabels> {
    metrics.histograms(
        "stream_pause_seconds",
        "Longest time between two chunks of a stream, for streams with at least two",
        TIME_BUCKETS,
    )
}

fn unattributed(metrics: &Metrics) -> Family<CauseLabels, Counter> {
    metrics.counters(
        "unattributed_responses",
        "Responses that do not show that they are the upstream's, by service and cause",
    )
}
