//! Reports of sides, and the interval between them.

use pumicecleat_config::model::{Config, PoolKind};
use pumicecleat_policy::{LoraIx, ObjectiveWeights, UpstreamIx, UpstreamStatus, upstream_key};
use pumicecleat_types::{Lora, Millis, Report, VmId};

use super::Directory;
use super::side::Side;

/// Inverse of the weight that the newest report has in the mean length.
const SMOOTHING_DIVISOR: u64 = 8;

const MIN_REPORT_INTERVAL: Millis = Millis(500);

const MAX_REPORT_INTERVAL: Millis = Millis(60_000);

/// Number of report intervals without a report after which a side is overdue.
const MAX_MISSED_REPORTS: u64 = 3;

/// Bytes that a report takes on the wire besides its body: the request head and the whole reply,
/// see `pumicecleat-measure slopes`.
const REPORT_OVERHEAD_BYTES: u64 = 192;

/// Mean report length assumed before the first report.
const INITIAL_REPORT_BYTES: u64 = 400;

const MS_PER_S: u64 = 1_000;

/// Computes the report interval at which the reports of all sides together stay below a byte rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportPacer {
    mean_length: u64,
}

impl Default for ReportPacer {
    fn default() -> Self {
        Self {
            mean_length: INITIAL_REPORT_BYTES,
        }
    }
}

impl ReportPacer {
    /// Updates the mean with a report of `length` bytes.
    pub(crate) fn record_length(&mut self, length: usize) {
        let previous = self.mean_length * (SMOOTHING_DIVISOR - 1);
        self.mean_length = (previous + length as u64) / SMOOTHING_DIVISOR;
    }

    /// Time until a side's next report if `sides` sides share `bytes_per_s` bytes per second.
    pub(crate) fn next_interval(self, sides: usize, bytes_per_s: u64) -> Millis {
        let total = (self.mean_length + REPORT_OVERHEAD_BYTES) * sides as u64 * MS_PER_S;
        Millis(total / bytes_per_s.max(1)).clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }
}

/// Result of applying a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// Ignored: the report is from an older incarnation, or a later one was applied before.
    Outdated,
    /// The side was known.
    Updated {
        /// Whether the next report must list the resident adapters.
        needs_full_report: bool,
        /// Whether the side stopped taking new work with this report.
        starts_leaving: bool,
    },
    /// The report is the first of this incarnation, or the first after a silence.
    Appeared {
        /// Whether the next report must list the resident adapters.
        needs_full_report: bool,
        /// Whether the side stopped taking new work with this report.
        starts_leaving: bool,
    },
}

impl Directory {
    pub(crate) fn apply_report(
        &mut self,
        report: &Report,
        config: &Config,
        now: Millis,
    ) -> ReportOutcome {
        self.router.set_weights(ObjectiveWeights {
            stall: config.tuning.stall,
            batch: config.tuning.batch,
        });
        let known = self.sides.get(&report.vm);
        let same_incarnation = known.is_some_and(|s| s.incarnation == report.incarnation);
        if known.is_some_and(|s| is_outdated(s, report)) {
            return ReportOutcome::Outdated;
        }
        let was_silent = known.is_none_or(|s| s.silent);
        let was_leaving = same_incarnation && known.is_some_and(|s| s.leaving);
        let resident = match (&report.resident, known) {
            (Some(names), _) => Some(self.resident_indices(names, report, config)),
            (None, Some(side)) if same_incarnation => side.resident.clone(),
            _ => None,
        };
        let needs_full_report = resident.is_none();
        if !same_incarnation {
            // The state of the earlier process, such as that it was leaving, no longer applies.
            self.remove_side(&report.vm);
        }
        let side = self.build_side(report, resident, config, now);
        let starts_leaving = side.leaving && !was_leaving;
        self.insert_side(&report.vm, side, now);
        if same_incarnation && !was_silent {
            return ReportOutcome::Updated {
                needs_full_report,
                starts_leaving,
            };
        }
        ReportOutcome::Appeared {
            needs_full_report,
            starts_leaving,
        }
    }

    fn build_side(
        &mut self,
        report: &Report,
        resident: Option<Vec<LoraIx>>,
        config: &Config,
        now: Millis,
    ) -> Side {
        let loading = report.loading.as_ref();
        let loading = loading.and_then(|name| self.resident_index(name, report, config));
        Side {
            up: self.upstream_index(&report.vm),
            address: report.address.clone(),
            incarnation: report.incarnation,
            sequence: report.seq,
            pool: report.pool.clone(),
            pool_ix: self.names.pool_index(&report.pool),
            centre: report.centre.clone(),
            leaving: report.leaving || self.listed.is_leaving(&report.vm),
            healthy: report.healthy,
            load: report.load,
            resident,
            loading,
            revision: report.revision,
            last_report_at: now,
            report_interval: self.report_interval,
            silent: false,
        }
    }

    fn insert_side(&mut self, vm: &VmId, side: Side, now: Millis) {
        let status = UpstreamStatus {
            load: side.load,
            leaving: side.leaving,
            healthy: side.healthy,
        };
        let resident = side.resident.as_deref();
        self.router
            .report(side.up, side.pool_ix, &status, resident, side.loading, now);
        self.sides.insert(vm.clone(), side);
    }

    fn resident_indices(
        &mut self,
        names: &[String],
        report: &Report,
        config: &Config,
    ) -> Vec<LoraIx> {
        let names = names.iter();
        names
            .filter_map(|name| self.resident_index(name, report, config))
            .collect()
    }

    fn resident_index(
        &mut self,
        engine_name: &str,
        report: &Report,
        config: &Config,
    ) -> Option<LoraIx> {
        let pool = config.pools.get(&report.pool)?;
        let PoolKind::Model { base, .. } = &pool.kind else {
            return None;
        };
        let (adapter, version) = engine_name.rsplit_once('@')?;
        let lora = Lora::new(base.as_str(), adapter, version);
        Some(self.lora_index(&lora))
    }

    /// Records the interval until a side's next report. It becomes the current interval of all sides.
    pub(crate) fn set_report_interval(&mut self, vm: &VmId, interval: Millis) {
        self.report_interval = interval;
        if let Some(side) = self.sides.get_mut(vm) {
            side.report_interval = interval;
        }
    }

    /// Whether a side has missed several reports.
    pub(crate) fn is_overdue(&self, vm: &VmId, now: Millis) -> bool {
        let side = self.sides.get(vm);
        side.is_none_or(|s| {
            now.since(s.last_report_at) > overdue_after(s.report_interval) + MIN_REPORT_INTERVAL
        })
    }

    /// Time without a report after which a side is overdue, at the current interval.
    pub(super) fn missed_report_age(&self) -> Millis {
        overdue_after(self.report_interval)
    }

    /// Index of an upstream. Assigns a free one if it has none.
    pub(crate) fn upstream_index(&mut self, vm: &VmId) -> UpstreamIx {
        if let Some(side) = self.sides.get(vm) {
            return side.up;
        }
        let assigned = self.by_index.iter().position(|p| p.as_ref() == Some(vm));
        let free = || self.by_index.iter().position(Option::is_none);
        let index = assigned.or_else(free).unwrap_or(self.by_index.len());
        if index == self.by_index.len() {
            self.by_index.push(None);
        }
        self.by_index[index] = Some(vm.clone());
        let up = UpstreamIx(u32::try_from(index).unwrap_or(u32::MAX));
        self.router.set_upstream_key(up, upstream_key(vm));
        up
    }
}

fn overdue_after(report_interval: Millis) -> Millis {
    Millis(report_interval.0.saturating_mul(MAX_MISSED_REPORTS))
}

/// Whether a report is older than the state known of its side.
fn is_outdated(side: &Side, report: &Report) -> bool {
    let same_incarnation = report.incarnation == side.incarnation;
    report.incarnation < side.incarnation || (same_incarnation && report.seq <= side.sequence)
}
