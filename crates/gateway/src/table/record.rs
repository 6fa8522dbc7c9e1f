//! State of one upstream.

use pumicecleat_policy::{UpstreamLoad, UpstreamStats};
use pumicecleat_types::{EngineFigures, KeptAdapters, Millis, Reach, RunNews, ViewRow};

use crate::ReportedLoad;

/// Maximum number of news kept for an agent that does not respond; it learns the rest from the engine's
/// report.
const NEWS: usize = 512;

/// Age up to which an agent's figures are used. Agents are called every 200 ms.
const FIGURES_SPAN: Millis = Millis(700);

/// Time without a message after which an agent counts as lost and pending asks there fail.
const SILENCE: Millis = Millis(700);

/// Time for which direct exchanges must fail until the agent counts as lost, whatever a relay reports. With
/// 500 ms, that is the second failure.
const FAILING_SPAN: Millis = Millis(500);

/// State of one upstream.
#[derive(Default)]
pub(crate) struct Record {
    /// Own requests in progress.
    pub(crate) own: u32,
    /// Response times and failures.
    pub(crate) slots: UpstreamStats,
    /// Load reported by the upstream, and when it arrived.
    pub(crate) load: Option<(ReportedLoad, Millis)>,
    /// Figures of the engine reported by its agent, and when they arrived.
    pub(crate) figures: Option<(EngineFigures, Millis)>,
    /// Adapters cached on the engine's host, reported by its agent, and their digest.
    pub(crate) kept: KeptAdapters,
    /// Own asks that the figures don't include yet.
    pub(crate) asking: Vec<Asking>,
    /// Number of own asks without an outcome.
    pub(crate) waiting: u32,
    /// Arrival of the last view that included the engine.
    pub(crate) viewed: Option<Millis>,
    /// Another instance answered at its address.
    pub(crate) replaced: bool,
    /// News for its agent.
    news: Vec<RunNews>,
    /// An exchange with its agent is in progress.
    pub(crate) syncing: bool,
    /// Start of the last exchange with its agent.
    pub(crate) synced: Millis,
    /// Last response of its agent.
    pub(crate) heard: Option<Millis>,
    /// Start of the current series of failed exchanges with its agent.
    pub(crate) failing: Option<Millis>,
    /// The loss of the agent was logged.
    pub(crate) told_lost: bool,
    /// Reachability, as shown by exchanges with its agent.
    pub(crate) reach: Reach,
    /// When the engine was first seen in the list.
    listed: Option<Millis>,
    /// Unix time of the engine's start in milliseconds, reported by its agent; 0 if unknown.
    born: u64,
}

/// A pending ask for a turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asking {
    pub(crate) at: Millis,
    pub(crate) tokens: u32,
    /// The adapter needs a slot.
    pub(crate) place: bool,
}

impl Record {
    pub(crate) fn tell(&mut self, news: RunNews) {
        if self.news.len() < NEWS {
            self.news.push(news);
        }
    }

    /// Sets the figures of an agent. If the engine was restarted since the last ones, resets all other state
    /// that depended on the earlier start.
    pub(crate) fn take_figures(&mut self, figures: EngineFigures, now: Millis) {
        if self.born != 0 && figures.born > self.born {
            self.kept = KeptAdapters::default();
            self.replaced = false;
            self.slots = UpstreamStats::default();
        }
        self.born = figures.born;
        self.figures = Some((figures, now));
    }

    /// Applies what a relay reported of the engine. Results of direct exchanges take precedence.
    pub(crate) fn take_row(&mut self, row: ViewRow, now: Millis) {
        self.viewed = Some(now);
        let at = now - Millis(row.age_ms);
        if let Some(kept) = row.kept {
            self.kept = kept;
        }
        let own = self.heard.is_some_and(|heard| heard >= at);
        if self.failing.is_none() && !own {
            self.reach = row.reach;
        }
        let older = self.figures.as_ref().is_some_and(|f| f.1 >= at);
        if let (Some(figures), false) = (row.figures, older) {
            self.asking.retain(|a| a.at > at);
            self.take_figures(figures, at);
        }
    }

    /// Last message of the agent, to this gateway or to a relay.
    pub(crate) fn last_word(&self) -> Option<Millis> {
        self.heard.max(self.figures.as_ref().map(|f| f.1))
    }

    /// Whether the agent counts as lost.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let unheard = self.last_word().is_none_or(|at| now.since(at) > SILENCE);
        let failing = self.failing;
        unheard || failing.is_some_and(|since| now.since(since) >= FAILING_SPAN)
    }

    /// When the engine was first seen in the list.
    pub(crate) fn listed(&mut self, now: Millis) -> Millis {
        *self.listed.get_or_insert(now)
    }

    pub(crate) fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    pub(crate) fn take_news(&mut self) -> Vec<RunNews> {
        std::mem::take(&mut self.news)
    }

    /// Figures that are fresh enough to use.
    pub(crate) fn fresh(&self, now: Millis) -> Option<&EngineFigures> {
        let (figures, at) = self.figures.as_ref()?;
        (now.since(*at) <= FIGURES_SPAN).then_some(figures)
    }

    /// Whether requests to the engine would fail: its agent reports that it crashed, was replaced or is
    /// leaving, or their VM is unreachable. An agent that is down reports nothing.
    pub(crate) fn is_out(&self, now: Millis) -> bool {
        self.reach != Reach::Sound || self.fresh(now).is_some_and(|f| f.ready_ms.is_none())
    }

    /// Load of the upstream for the choice among plain upstreams.
    pub(crate) fn slot_view(&self, slots: u32, remote: bool, now: Millis) -> UpstreamLoad {
        UpstreamLoad {
            own_requests: self.own,
            reported: self.load.map(|(load, at)| {
                let busy = load.running + load.waiting;
                (busy, now.since(at))
            }),
            slots,
            remote,
        }
    }
}
