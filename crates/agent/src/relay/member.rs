//! What a relay knows of one engine.

use pumicecleat_policy::{EngineNeeds, EngineView};
use pumicecleat_types::{
    CachedAdapters, ChangeCursor, DataCentre, EngineFigures, FiguresReply, Member, Millis,
    Reachability, ViewRow,
};

/// Interval between exchanges with an agent of the same data centre. Together with the interval of the queries
/// between relays, figures are well within the time for which they are relied on.
const POLL_INTERVAL: Millis = Millis(100);

/// Time for which exchanges must fail before a VM is considered cut off. A single failure may be a lost packet.
const CUT_OFF_DELAY: Millis = Millis(500);

/// Age up to which figures are relied on.
const MAX_FIGURES_AGE: Millis = Millis(700);

/// Time after which a proposed request shows in the figures, or was sent elsewhere.
const PROPOSAL_TTL: Millis = Millis(500);

/// Time after the last result for an engine for which its row is included in views. After that, callers contact
/// the engine's agent themselves.
const ROW_TTL: Millis = Millis(1_000);

/// State of an engine.
pub(super) struct MemberState {
    pub(super) member: Member,
    figures: Option<(EngineFigures, Millis)>,
    /// Requests for which the engine was proposed first, and which its figures may not include yet.
    proposals: Vec<Proposal>,
    cached_adapters: CachedAdapters,
    /// Revision in which `cached_adapters` last changed.
    cached_revision: u64,
    reach: Reachability,
    /// Time of the first failed exchange since the last successful one.
    failing_since: Option<Millis>,
    /// Time of the last result, successful or not.
    last_result_at: Option<Millis>,
    last_poll: Option<Millis>,
    poll_pending: bool,
}

/// A request for which an engine was proposed first.
struct Proposal {
    at: Millis,
    tokens: u32,
    needs_slot: bool,
}

impl MemberState {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            figures: None,
            proposals: Vec::new(),
            cached_adapters: CachedAdapters::default(),
            cached_revision: 0,
            reach: Reachability::Reachable,
            failing_since: None,
            last_result_at: None,
            last_poll: None,
            poll_pending: false,
        }
    }

    /// Marks an exchange with the agent as started if one is due; returns the digest of the cached adapters known.
    pub(super) fn start_poll(&mut self, now: Millis) -> Option<u64> {
        let interval_over = self
            .last_poll
            .is_none_or(|at| now.since(at) >= POLL_INTERVAL);
        if !interval_over || self.poll_pending {
            return None;
        }
        self.poll_pending = true;
        self.last_poll = Some(now);
        Some(self.cached_adapters.digest)
    }

    /// Records the agent's reply to an exchange between two times. Returns the time since which exchanges had failed,
    /// if they had.
    pub(super) fn record_reply(
        &mut self,
        reply: FiguresReply,
        (sent_at, now): (Millis, Millis),
        revision: &mut ChangeCursor,
    ) -> Option<Millis> {
        self.poll_pending = false;
        self.last_result_at = Some(now);
        let failing_since = self.failing_since.take();
        if reply.figures.instance != self.member.instance {
            // An agent that does not know the instance of its engine yet grants no turns.
            self.reach = Reachability::Replaced;
            return failing_since;
        }
        self.reach = Reachability::Reachable;
        self.figures = Some((reply.figures, sent_at));
        if let Some(adapters) = reply.cached_adapters {
            self.set_cached_adapters(adapters, revision);
        }
        failing_since
    }

    /// Records that the agent did not answer, `refused` if its VM refused the connection. Returns whether this is the
    /// first failure since the last reply.
    pub(super) fn record_failure(&mut self, refused: bool, now: Millis) -> bool {
        let is_first = self.failing_since.is_none();
        self.poll_pending = false;
        self.last_result_at = Some(now);
        let failing_since = *self.failing_since.get_or_insert(now);
        if refused {
            self.reach = Reachability::Reachable;
        } else if now.since(failing_since) >= CUT_OFF_DELAY {
            self.reach = Reachability::Unreachable;
        }
        is_first
    }

    /// Records what the relay of another data centre replied to a query between two times.
    pub(super) fn record_row(
        &mut self,
        row: ViewRow,
        (sent_at, now): (Millis, Millis),
        revision: &mut ChangeCursor,
    ) {
        self.last_result_at = Some(now);
        self.reach = row.reach;
        if let Some(figures) = row.figures {
            // The age counts from the start of the query, so that it is never underestimated.
            self.figures = Some((figures, sent_at - Millis(row.age_ms)));
        }
        if let Some(adapters) = row.cached_adapters {
            self.set_cached_adapters(adapters, revision);
        }
    }

    /// View of the engine for a request; `None` if it can't serve requests now.
    pub(super) fn view(
        &mut self,
        needs: &EngineNeeds<'_>,
        own_centre: &DataCentre,
        now: Millis,
    ) -> Option<EngineView> {
        let figures = self.figures.as_ref();
        let measured_at = figures.map_or(Millis(0), |f| f.1);
        let is_stale = now.since(measured_at) > MAX_FIGURES_AGE;
        let is_down = !is_stale && figures.is_some_and(|f| f.0.ready_ms.is_none());
        if self.reach != Reachability::Reachable || is_down {
            return None;
        }
        self.proposals
            .retain(|p| p.at > measured_at && now.since(p.at) < PROPOSAL_TTL);
        let proposed_tokens: u64 = self.proposals.iter().map(|p| u64::from(p.tokens)).sum();
        let proposed_slots = self.proposals.iter().filter(|p| p.needs_slot).count();
        let proposed_slots = u32::try_from(proposed_slots).unwrap_or(u32::MAX);
        let figures = figures.map(|f| &f.0);
        let view = needs.view(&self.member.instance, figures, &self.cached_adapters.names);
        Some(EngineView {
            available_slots: view.available_slots.saturating_sub(proposed_slots),
            unread_tokens: view.unread_tokens + proposed_tokens,
            stale: is_stale,
            remote: self.member.centre != *own_centre,
            ..view
        })
    }

    /// Records that the engine was proposed first for a request.
    pub(super) fn record_proposal(&mut self, view: &EngineView, now: Millis) {
        self.proposals.push(Proposal {
            at: now,
            tokens: view.prompt_tokens,
            needs_slot: view.adapter_state.needs_slot(),
        });
    }

    /// Row for a gateway that wants to know whether the engine's host caches `adapter`.
    pub(super) fn to_candidate(&self, adapter: Option<&str>, now: Millis) -> ViewRow {
        let as_of = self.figures.as_ref().map_or(now, |f| f.1);
        let cached = &self.cached_adapters.names;
        let names = cached.iter().filter(|n| adapter == Some(n.as_str()));
        ViewRow {
            instance: self.member.instance.clone(),
            reach: self.reach,
            age_ms: now.since(as_of).0,
            figures: self.figures.as_ref().map(|f| f.0.clone()),
            cached_adapters: Some(CachedAdapters {
                digest: 0,
                names: names.cloned().collect(),
            }),
        }
    }

    fn set_cached_adapters(&mut self, adapters: CachedAdapters, revision: &mut ChangeCursor) {
        if adapters.digest == self.cached_adapters.digest {
            return;
        }
        revision.count += 1;
        self.cached_revision = revision.count;
        self.cached_adapters = adapters;
    }

    /// Returns the row for a caller that has all changes up to `since`, or `None` without a recent result.
    pub(super) fn to_row(&self, since: u64, now: Millis) -> Option<ViewRow> {
        let last_result_at = self.last_result_at?;
        if now.since(last_result_at) >= ROW_TTL {
            return None;
        }
        let as_of = self.figures.as_ref().map_or(now, |f| f.1);
        Some(ViewRow {
            instance: self.member.instance.clone(),
            reach: self.reach,
            age_ms: now.since(as_of).0,
            figures: self.figures.as_ref().map(|f| f.0.clone()),
            cached_adapters: (self.cached_revision > since).then(|| self.cached_adapters.clone()),
        })
    }
}
