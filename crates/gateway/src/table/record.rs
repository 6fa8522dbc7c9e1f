//! What is believed of one upstream.

use pumicecleat_policy::{UpstreamLoad, UpstreamStats};
use pumicecleat_types::{EngineFigures, KeptAdapters, Millis, Reach, RunNews, ViewRow};

use crate::ReportedLoad;

/// News kept for an agent that does not answer; it learns the rest from the engine's report.
const NEWS: usize = 512;

/// Age up to which an agent's figures are relied on. Agents are asked every 200 ms.
const FIGURES_SPAN: Millis = Millis(700);

/// Silence after which an agent counts as lost, and asks under way there are given up.
const SILENCE: Millis = Millis(700);

/// Own exchanges that fail for this long show the same, whatever a relay hears: the second after the
/// first.
const FAILING_SPAN: Millis = Millis(500);

/// What is believed of one upstream.
#[derive(Default)]
pub(crate) struct Record {
    /// Own requests under way.
    pub(crate) own: u32,
    /// Times and failures of its answers.
    pub(crate) slots: UpstreamStats,
    /// Load by its own word, and when that came.
    pub(crate) load: Option<(ReportedLoad, Millis)>,
    /// Engine's figures by its agent, and when they came.
    pub(crate) figures: Option<(EngineFigures, Millis)>,
    /// Adapters that its host keeps, by its agent, and their digest.
    pub(crate) kept: KeptAdapters,
    /// Own asks that the figures don't show yet.
    pub(crate) asking: Vec<Asking>,
    /// Own asks that have no outcome yet.
    pub(crate) waiting: u32,
    /// Last view that told of the engine.
    pub(crate) viewed: Option<Millis>,
    /// Another upstream answered in its place.
    pub(crate) replaced: bool,
    /// News for its agent.
    news: Vec<RunNews>,
    /// An exchange with its agent is under way.
    pub(crate) syncing: bool,
    /// Last exchange with its agent began.
    pub(crate) synced: Millis,
    /// Agent last answered.
    pub(crate) heard: Option<Millis>,
    /// First exchange with its agent that failed since the last that did not.
    pub(crate) failing: Option<Millis>,
    /// The log tells that the agent is silent.
    pub(crate) told_lost: bool,
    /// What exchanges with its agent tell of the engine.
    pub(crate) reach: Reach,
    /// When the engine was first looked at.
    listed: Option<Millis>,
    /// Unix time of the engine's start, ms, by its agent; 0 if it does not tell.
    born: u64,
}

/// An ask for a turn under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asking {
    pub(crate) at: Millis,
    pub(crate) tokens: u32,
    /// Needs a place for its adapter.
    pub(crate) place: bool,
}

impl Record {
    pub(crate) fn tell(&mut self, news: RunNews) {
        if self.news.len() < NEWS {
            self.news.push(news);
        }
    }

    /// Takes in an agent's figures. If the engine started again since the last, all else that was
    /// believed of it is void.
    pub(crate) fn take_figures(&mut self, figures: EngineFigures, now: Millis) {
        if self.born != 0 && figures.born > self.born {
            self.kept = KeptAdapters::default();
            self.replaced = false;
            self.slots = UpstreamStats::default();
        }
        self.born = figures.born;
        self.figures = Some((figures, now));
    }

    /// Takes in what a relay told of the engine. What own exchanges found counts more.
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

    /// Last word of the agent, to this gateway or to a relay.
    pub(crate) fn last_word(&self) -> Option<Millis> {
        self.heard.max(self.figures.as_ref().map(|f| f.1))
    }

    /// Whether the agent counts as lost.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let unheard = self.last_word().is_none_or(|at| now.since(at) > SILENCE);
        let failing = self.failing;
        unheard || failing.is_some_and(|since| now.since(since) >= FAILING_SPAN)
    }

    /// When the engine was first looked at.
    pub(crate) fn listed(&mut self, now: Millis) -> Millis {
        *self.listed.get_or_insert(now)
    }

    pub(crate) fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    pub(crate) fn take_news(&mut self) -> Vec<RunNews> {
        std::mem::take(&mut self.news)
    }

    /// Figures that are fresh enough to rely on.
    pub(crate) fn fresh(&self, now: Millis) -> Option<&EngineFigures> {
        let (figures, at) = self.figures.as_ref()?;
        (now.since(*at) <= FIGURES_SPAN).then_some(figures)
    }

    /// Whether requests for the engine would be in vain: its agent says that it crashed, was
    /// replaced or leaves, or their VM can't be reached. An agent that is down says nothing.
    pub(crate) fn is_out(&self, now: Millis) -> bool {
        self.reach != Reach::Sound || self.fresh(now).is_some_and(|f| f.ready_ms.is_none())
    }

    /// View for the choice among plain upstreams.
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
