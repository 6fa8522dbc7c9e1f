//! State of one upstream.

use pumicecleat_policy::{UpstreamLoad, UpstreamStats};
use pumicecleat_types::{CachedAdapters, EngineFigures, Millis, Reachability, RunNews, ViewRow};

use crate::ReportedLoad;

/// Maximum number of news kept for an agent that does not respond; it learns the rest from the engine's
/// report.
const MAX_NEWS: usize = 512;

/// Age up to which an agent's figures are used. Agents are called every 200 ms.
const MAX_FIGURES_AGE: Millis = Millis(700);

/// Time without a message after which an agent counts as lost and pending asks there fail.
pub(crate) const SILENCE_TIMEOUT: Millis = Millis(700);

/// Time for which direct exchanges must fail until the agent counts as lost, whatever a relay reports. With
/// 500 ms, that is the second failure.
const FAILURE_TIMEOUT: Millis = Millis(500);

/// State of one upstream.
#[derive(Default)]
pub(crate) struct UpstreamRecord {
    /// Own requests in progress.
    pub(crate) own_requests: u32,
    /// Response times and failures.
    pub(crate) stats: UpstreamStats,
    /// Load reported by the upstream, and when it arrived.
    pub(crate) reported_load: Option<(ReportedLoad, Millis)>,
    /// Figures of the engine reported by its agent, and when they arrived.
    pub(crate) figures: Option<(EngineFigures, Millis)>,
    /// Adapters cached on the engine's host, reported by its agent, and their digest.
    pub(crate) kept_adapters: CachedAdapters,
    /// Own asks that the agent's figures don't include yet.
    pub(crate) unreported_asks: Vec<UnreportedAsk>,
    /// Number of own asks without an outcome.
    pub(crate) pending_asks: u32,
    /// Another instance answered at its address.
    pub(crate) is_replaced: bool,
    /// News for its agent.
    news: Vec<RunNews>,
    /// An exchange with its agent is in progress.
    pub(crate) is_syncing: bool,
    /// Start of the last exchange with its agent.
    pub(crate) synced_at: Millis,
    /// Last response of its agent.
    pub(crate) heard_at: Option<Millis>,
    /// Start of the current series of failed exchanges with its agent.
    pub(crate) failing_since: Option<Millis>,
    /// The loss of the agent was logged.
    pub(crate) loss_logged: bool,
    /// Reachability, as shown by exchanges with its agent.
    pub(crate) reach: Reachability,
    /// Unix time of the engine's start in milliseconds, reported by its agent; 0 if unknown.
    born: u64,
}

/// An ask for a turn that the agent's figures don't include yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreportedAsk {
    pub(crate) sent_at: Millis,
    pub(crate) tokens: u32,
    /// The adapter needs a slot.
    pub(crate) needs_slot: bool,
}

impl UpstreamRecord {
    pub(crate) fn push_news(&mut self, news: RunNews) {
        if self.news.len() < MAX_NEWS {
            self.news.push(news);
        }
    }

    /// Sets the figures of an agent. If the engine was restarted since the last ones, resets all other state
    /// that depended on the earlier start.
    pub(crate) fn set_figures(&mut self, figures: EngineFigures, now: Millis) {
        if self.born != 0 && figures.start_time_ms > self.born {
            self.kept_adapters = CachedAdapters::default();
            self.is_replaced = false;
            self.stats = UpstreamStats::default();
        }
        self.born = figures.start_time_ms;
        self.figures = Some((figures, now));
    }

    /// Applies what a relay reported of the engine. Results of direct exchanges take precedence.
    pub(crate) fn apply_row(&mut self, row: ViewRow, now: Millis) {
        let measured_at = now - Millis(row.age_ms);
        if let Some(kept) = row.cached_adapters {
            self.kept_adapters = kept;
        }
        let is_outdated = self
            .heard_at
            .is_some_and(|heard_at| heard_at >= measured_at);
        if self.failing_since.is_none() && !is_outdated {
            self.reach = row.reach;
        }
        let has_newer = self.figures.as_ref().is_some_and(|f| f.1 >= measured_at);
        if let (Some(figures), false) = (row.figures, has_newer) {
            self.unreported_asks.retain(|a| a.sent_at > measured_at);
            self.set_figures(figures, measured_at);
        }
    }

    /// Last message of the agent, to this gateway or to a relay.
    pub(crate) fn last_message(&self) -> Option<Millis> {
        self.heard_at.max(self.figures.as_ref().map(|f| f.1))
    }

    /// Whether the agent counts as lost.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let is_overdue = self
            .last_message()
            .is_none_or(|at| now.since(at) > SILENCE_TIMEOUT);
        is_overdue || self.is_failing(now)
    }

    /// Whether direct exchanges with the agent have failed for so long that it counts as lost.
    pub(crate) fn is_failing(&self, now: Millis) -> bool {
        let failing_since = self.failing_since;
        failing_since.is_some_and(|since| now.since(since) >= FAILURE_TIMEOUT)
    }

    /// Whether this gateway itself observed that it can't use the engine now.
    pub(crate) fn is_unsuitable(&self, now: Millis) -> bool {
        self.is_replaced || self.is_failing(now) || self.stats.has_recent_failure(now)
    }

    pub(crate) fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    pub(crate) fn take_news(&mut self) -> Vec<RunNews> {
        std::mem::take(&mut self.news)
    }

    /// Figures that are fresh enough to use.
    pub(crate) fn fresh_figures(&self, now: Millis) -> Option<&EngineFigures> {
        let (figures, at) = self.figures.as_ref()?;
        (now.since(*at) <= MAX_FIGURES_AGE).then_some(figures)
    }

    /// Whether requests to the engine would fail: its agent reports that it crashed, was replaced or is
    /// leaving, or their VM is unreachable. An agent that is down reports nothing.
    pub(crate) fn is_unavailable(&self, now: Millis) -> bool {
        self.reach != Reachability::Reachable
            || self
                .fresh_figures(now)
                .is_some_and(|f| f.ready_ms.is_none())
    }

    /// Load of the upstream for the choice among plain upstreams.
    pub(crate) fn upstream_load(&self, slots: u32, remote: bool, now: Millis) -> UpstreamLoad {
        UpstreamLoad {
            own_requests: self.own_requests,
            reported: self.reported_load.map(|(load, at)| {
                let busy = load.running + load.waiting;
                (busy, now.since(at))
            }),
            slots,
            remote,
        }
    }
}
