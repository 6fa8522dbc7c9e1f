//! Sides' reports.

use pumicecleat_config::model::{Config, PoolKind};
use pumicecleat_policy::{LoraIx, ObjectiveWeights, UpstreamIx, UpstreamStatus, upstream_key};
use pumicecleat_types::{Lora, Millis, Report, VmId};

use super::Directory;
use super::side::Side;

/// Weight of the newest report in the mean length, as one over.
const NEW: u64 = 8;

/// Shortest time between two reports of a side.
const SHORTEST: Millis = Millis(500);

/// Longest time between two reports of a side.
const LONGEST: Millis = Millis(60_000);

/// Reports missed from which on a side is overdue.
const MISSED: u64 = 3;

/// What a report takes beside its own length, bytes: its head, and the reply with its head
/// (`pumicecleat-measure slopes`).
const WIRE: u64 = 192;

/// Length assumed before the first report, bytes.
const LENGTH: u64 = 400;

/// Milliseconds in a second.
const SECOND: u64 = 1_000;

/// Pace of reports, so that all together stay under a rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportPacer {
    length: u64,
}

impl Default for ReportPacer {
    fn default() -> Self {
        Self { length: LENGTH }
    }
}

impl ReportPacer {
    /// Counts a report of `length` bytes.
    pub(crate) fn record_length(&mut self, length: usize) {
        let kept = self.length * (NEW - 1);
        self.length = (kept + length as u64) / NEW;
    }

    /// Time until a side's next report, where `sides` share `rate` bytes a second.
    pub(crate) fn next_interval(self, sides: usize, rate: u64) -> Millis {
        let all = (self.length + WIRE) * sides as u64 * SECOND;
        Millis(all / rate.max(1)).clamp(SHORTEST, LONGEST)
    }
}

/// What became of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// Of an older incarnation, or overtaken.
    Outdated,
    /// Taken in.
    Updated {
        /// The next must be whole.
        whole: bool,
        /// Takes no new work since this report.
        leaves: bool,
    },
    /// First one of this incarnation, or after a silence.
    Appeared {
        /// The next must be whole.
        whole: bool,
        /// Takes no new work since this report.
        leaves: bool,
    },
}

impl Directory {
    /// Takes a report in.
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
        let same = known.is_some_and(|s| s.incarnation == report.incarnation);
        if known.is_some_and(|s| is_old(s, report)) {
            return ReportOutcome::Outdated;
        }
        let silent = known.is_none_or(|s| s.silent);
        let left = same && known.is_some_and(|s| s.leaving);
        let resident = match (&report.resident, known) {
            (Some(names), _) => Some(self.residents(names, report, config)),
            (None, Some(side)) if same => side.resident.clone(),
            _ => None,
        };
        let whole = resident.is_none();
        if !same {
            // What was learned of an earlier process, such as that it leaves, is void.
            self.remove_side(&report.vm);
        }
        let side = self.side(report, resident, config, now);
        let leaves = side.leaving && !left;
        self.put(&report.vm, side, now);
        if same && !silent {
            return ReportOutcome::Updated { whole, leaves };
        }
        ReportOutcome::Appeared { whole, leaves }
    }

    fn side(
        &mut self,
        report: &Report,
        resident: Option<Vec<LoraIx>>,
        config: &Config,
        now: Millis,
    ) -> Side {
        let loading = report.loading.as_ref();
        let loading = loading.and_then(|name| self.resident(name, report, config));
        Side {
            up: self.upstream_index(&report.vm),
            address: report.address.clone(),
            incarnation: report.incarnation,
            seq: report.seq,
            pool: report.pool.clone(),
            pool_ix: self.names.pool(&report.pool),
            centre: report.centre.clone(),
            leaving: report.leaving || self.listed.is_leaving(&report.vm),
            healthy: report.healthy,
            load: report.load,
            resident,
            loading,
            revision: report.revision,
            seen: now,
            next: self.report_interval,
            silent: false,
        }
    }

    fn put(&mut self, vm: &VmId, side: Side, now: Millis) {
        let figures = UpstreamStatus {
            load: side.load,
            leaving: side.leaving,
            healthy: side.healthy,
        };
        let resident = side.resident.as_deref();
        self.router
            .report(side.up, side.pool_ix, &figures, resident, side.loading, now);
        self.sides.insert(vm.clone(), side);
    }

    fn residents(&mut self, names: &[String], report: &Report, config: &Config) -> Vec<LoraIx> {
        let known = names.iter();
        known
            .filter_map(|name| self.resident(name, report, config))
            .collect()
    }

    fn resident(&mut self, engine: &str, report: &Report, config: &Config) -> Option<LoraIx> {
        let pool = config.pools.get(&report.pool)?;
        let PoolKind::Model { base, .. } = &pool.kind else {
            return None;
        };
        let (adapter, version) = engine.rsplit_once('@')?;
        let lora = Lora::new(base.as_str(), adapter, version);
        Some(self.lora_index(&lora))
    }

    /// Notes when a side was told to report next, which is the pace of all.
    pub(crate) fn set_report_interval(&mut self, vm: &VmId, next: Millis) {
        self.report_interval = next;
        if let Some(side) = self.sides.get_mut(vm) {
            side.next = next;
        }
    }

    /// Whether a side has missed several reports.
    pub(crate) fn is_overdue(&self, vm: &VmId, now: Millis) -> bool {
        let side = self.sides.get(vm);
        side.is_none_or(|s| now.since(s.seen) > missed(s.next) + SHORTEST)
    }

    /// Time beyond which reports are missed, at the pace that holds now.
    pub(super) fn missed_report_age(&self) -> Millis {
        missed(self.report_interval)
    }

    /// Index of an upstream: the one it has, or a free one.
    pub(crate) fn upstream_index(&mut self, vm: &VmId) -> UpstreamIx {
        if let Some(side) = self.sides.get(vm) {
            return side.up;
        }
        let held = self.by_index.iter().position(|p| p.as_ref() == Some(vm));
        let free = || self.by_index.iter().position(Option::is_none);
        let at = held.or_else(free).unwrap_or(self.by_index.len());
        if at == self.by_index.len() {
            self.by_index.push(None);
        }
        self.by_index[at] = Some(vm.clone());
        let up = UpstreamIx(u32::try_from(at).unwrap_or(u32::MAX));
        self.router.set_upstream_key(up, upstream_key(vm));
        up
    }
}

fn missed(pace: Millis) -> Millis {
    Millis(pace.0.saturating_mul(MISSED))
}

/// Whether a report says less than what is known.
fn is_old(side: &Side, report: &Report) -> bool {
    let same = report.incarnation == side.incarnation;
    report.incarnation < side.incarnation || (same && report.seq <= side.seq)
}
