//! State of a relay: its callers, the engines that they request, and the results of the exchanges about them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_policy::{
    EngineNeeds, EngineView, RelayPick, RelaySelector, members_digest, name_key,
};
use pumicecleat_types::{
    CachedAdapters, ChangeCursor, DataCentre, EngineFigures, FiguresReply, Member, Millis,
    Reachability, ViewCall, ViewReply, ViewRow, Viewer, VmId,
};

use crate::gateways::RecentGateways;

/// Time after its last call for which figures are collected for a caller: five intervals between its calls.
const CALLER_TTL: Millis = Millis(1_000);

/// Interval between exchanges with an agent of the same data centre. Together with the intervals of the queries
/// between relays and of the gateways' calls, figures are at most half a second old when they reach a gateway,
/// which is within the time for which they are relied on.
const POLL_INTERVAL: Millis = Millis(100);

/// Interval between queries to the relay of another data centre.
const CENTRE_QUERY_INTERVAL: Millis = Millis(150);

/// Time for which exchanges must fail before a VM is considered cut off. A single failure may be a lost packet.
const CUT_OFF_DELAY: Millis = Millis(500);

/// Age up to which figures are relied on.
const MAX_FIGURES_AGE: Millis = Millis(700);

/// Time after which a proposed request shows in the figures, or was sent elsewhere.
const PROPOSAL_TTL: Millis = Millis(500);

/// Time after the last result for an engine for which its row is included in views. After that, callers contact
/// the engine's agent themselves.
const ROW_TTL: Millis = Millis(1_000);

/// A caller and the members that it requests.
struct Caller {
    viewer: Viewer,
    digest: u64,
    members: Rc<Vec<Member>>,
    last_call: Millis,
}

/// State of an engine.
pub(super) struct MemberState {
    member: Member,
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

/// State of the exchange with another data centre.
#[derive(Default)]
struct CentreState {
    relays: RelaySelector,
    last_query: Option<Millis>,
    query_pending: bool,
    /// Number of gateways that its relay reported, and when.
    gateway_count: Option<(u32, Millis)>,
}

/// State of a relay.
pub(crate) struct RelayState {
    own_centre: DataCentre,
    /// Address at which other processes call this agent.
    own_address: SocketAddr,
    /// ID of this start of the agent, and number of changes since.
    revision: ChangeCursor,
    callers: BTreeMap<VmId, Caller>,
    members: BTreeMap<String, MemberState>,
    centres: BTreeMap<DataCentre, CentreState>,
    recent_gateways: RecentGateways,
    /// Engines of the list, if this relay follows it.
    listed: Rc<Vec<Member>>,
}

/// Query to the relay of another data centre.
pub(super) struct CentreQuery {
    pub(super) centre: DataCentre,
    pub(super) members: Vec<Member>,
    pub(super) digest: u64,
    pub(super) pick: RelayPick,
}

/// Exchanges that are due.
#[derive(Default)]
pub(super) struct DueExchanges {
    /// Agents to poll, each with the known digest of the cached adapters.
    pub(super) agents: Vec<(Member, u64)>,
    pub(super) centre_queries: Vec<CentreQuery>,
}

impl RelayState {
    /// Creates an empty state; `start` identifies this start of the agent.
    pub(crate) fn new(own_centre: DataCentre, own_address: SocketAddr, start: u64) -> Self {
        Self {
            own_centre,
            own_address,
            revision: ChangeCursor { start, count: 0 },
            callers: BTreeMap::new(),
            members: BTreeMap::new(),
            centres: BTreeMap::new(),
            recent_gateways: RecentGateways::default(),
            listed: Rc::default(),
        }
    }

    pub(super) fn own_centre(&self) -> &DataCentre {
        &self.own_centre
    }

    pub(super) fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Whether there was no call recently.
    pub(crate) fn is_idle(&self, now: Millis) -> bool {
        self.callers
            .values()
            .all(|c| now.since(c.last_call) >= CALLER_TTL)
    }

    /// Updates the state of the agent's own engine.
    pub(super) fn update_own(&mut self, figures: &EngineFigures, cached: Vec<String>, now: Millis) {
        let address = self.own_address;
        let own = self.members.values().find(|m| m.member.side == address);
        let Some(instance) = own.map(|m| m.member.instance.clone()) else {
            return;
        };
        let digest = name_key(&cached.join("/"));
        let reply = FiguresReply {
            figures: figures.clone(),
            cached_adapters: Some(CachedAdapters {
                digest,
                names: cached,
            }),
            ..FiguresReply::default()
        };
        self.record_reply(&instance, reply, now, now);
    }

    /// Sets the engines of the list, whose figures are collected for gateways.
    pub(super) fn set_listed(&mut self, members: Vec<Member>) {
        if *self.listed != members {
            self.listed = Rc::new(members);
        }
    }

    /// State of a listed engine.
    pub(super) fn member_mut(&mut self, instance: &str) -> Option<&mut MemberState> {
        self.members.get_mut(instance)
    }

    /// Registers the caller and returns its view.
    pub(super) fn reply(&mut self, call: ViewCall, now: Millis) -> ViewReply {
        if call.viewer == Viewer::Entry {
            self.recent_gateways.record_contact(&call.caller, now);
        }
        let mut reply = ViewReply {
            seen: self.revision,
            entries: self.gateway_count(call.viewer, now),
            ..ViewReply::default()
        };
        if call.digest == 0 {
            let caller = Caller {
                viewer: call.viewer,
                digest: 0,
                members: Rc::default(),
                last_call: now,
            };
            self.callers.insert(call.caller, caller);
            return reply;
        }
        let Some(members) = self.resolve_members(call.digest, call.members) else {
            reply.unknown = true;
            return reply;
        };
        let since = if call.seen.start == self.revision.start {
            call.seen.count
        } else {
            0
        };
        let rows = members.iter().filter_map(|m| self.members.get(&m.instance));
        let rows =
            rows.filter(|m| call.viewer == Viewer::Entry || m.member.centre == self.own_centre);
        reply.rows = rows.filter_map(|m| m.to_row(since, now)).collect();
        let caller = Caller {
            viewer: call.viewer,
            digest: call.digest,
            members,
            last_call: now,
        };
        self.callers.insert(call.caller, caller);
        reply
    }

    /// Returns the members for a digest, as received with this call or with an earlier one of any caller.
    fn resolve_members(
        &self,
        digest: u64,
        received: Option<Vec<Member>>,
    ) -> Option<Rc<Vec<Member>>> {
        if let Some(members) = received {
            return Some(Rc::new(members));
        }
        let mut callers = self.callers.values();
        let known = callers.find(|c| c.digest == digest)?;
        Some(Rc::clone(&known.members))
    }

    /// Number of gateways known to this agent and, if a gateway asks, in the other data centres.
    fn gateway_count(&self, viewer: Viewer, now: Millis) -> u32 {
        let local = self.recent_gateways.count(now);
        if viewer == Viewer::Relay {
            return local;
        }
        let counts = self.centres.values().filter_map(|c| c.gateway_count);
        let recent = counts.filter(|(_, at)| RecentGateways::is_recent(*at, now));
        recent.fold(local, |sum, (count, _)| sum.saturating_add(count))
    }

    /// Number of data centres with engines, each of which has a relay.
    pub(super) fn centre_count(&self) -> u32 {
        u32::try_from(self.centres.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the exchanges that are due and marks them as started.
    pub(super) fn start_due_exchanges(&mut self, now: Millis) -> DueExchanges {
        self.update_members(now);
        let mut due = DueExchanges::default();
        for state in self.members.values_mut() {
            let is_polled =
                state.member.centre == self.own_centre && state.member.side != self.own_address;
            let interval_over = state
                .last_poll
                .is_none_or(|at| now.since(at) >= POLL_INTERVAL);
            if is_polled && interval_over && !state.poll_pending {
                state.poll_pending = true;
                state.last_poll = Some(now);
                due.agents
                    .push((state.member.clone(), state.cached_adapters.digest));
            }
        }
        if self.serves_gateways(now) {
            due.centre_queries = self.due_centre_queries(now);
        }
        due
    }

    pub(super) fn serves_gateways(&self, now: Millis) -> bool {
        let mut callers = self.callers.values();
        callers.any(|c| c.viewer == Viewer::Entry && now.since(c.last_call) < CALLER_TTL)
    }

    fn due_centre_queries(&mut self, now: Millis) -> Vec<CentreQuery> {
        let mut members: BTreeMap<DataCentre, Vec<Member>> = BTreeMap::new();
        let others = self
            .members
            .values()
            .filter(|m| m.member.centre != self.own_centre);
        for state in others {
            let centre_members = members.entry(state.member.centre.clone()).or_default();
            centre_members.push(state.member.clone());
        }
        let mut due = Vec::new();
        for (name, members) in members {
            let centre = self.centres.entry(name.clone()).or_default();
            let interval_over = centre
                .last_query
                .is_none_or(|at| now.since(at) >= CENTRE_QUERY_INTERVAL);
            if centre.query_pending || !interval_over {
                continue;
            }
            let digest = members_digest(&members);
            let Some(pick) = centre.relays.pick(&members, digest, |_| true, now) else {
                continue;
            };
            centre.query_pending = true;
            centre.last_query = Some(now);
            due.push(CentreQuery {
                centre: name,
                members,
                digest,
                pick,
            });
        }
        due
    }

    /// Updates the members to those that are requested and removes callers without a recent call.
    fn update_members(&mut self, now: Millis) {
        self.callers
            .retain(|_, c| now.since(c.last_call) < CALLER_TTL);
        let lists: BTreeMap<u64, Rc<Vec<Member>>> = self
            .callers
            .values()
            .map(|c| (c.digest, Rc::clone(&c.members)))
            .collect();
        let listed = self.serves_gateways(now).then(|| Rc::clone(&self.listed));
        let lists = lists.into_values().chain(listed);
        let lists: Vec<Rc<Vec<Member>>> = lists.collect();
        let requested = lists.iter().flat_map(|members| members.iter());
        let mut requested_instances = BTreeSet::new();
        for member in requested {
            requested_instances.insert(member.instance.as_str());
            let state = self.members.get_mut(&member.instance);
            match state {
                Some(state) if state.member == *member => {}
                Some(state) => state.member = member.clone(),
                None => {
                    let state = MemberState::new(member.clone());
                    self.members.insert(member.instance.clone(), state);
                }
            }
        }
        self.members
            .retain(|name, _| requested_instances.contains(name.as_str()));
    }

    /// Records an agent's reply to an exchange started at `sent_at`. Returns the time since which exchanges had
    /// failed, if they had.
    pub(super) fn record_reply(
        &mut self,
        instance: &str,
        reply: FiguresReply,
        sent_at: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let state = self.members.get_mut(instance)?;
        state.poll_pending = false;
        state.last_result_at = Some(now);
        let failing_since = state.failing_since.take();
        if reply.figures.instance != instance {
            // An agent that does not know the instance of its engine yet grants no turns.
            state.reach = Reachability::Replaced;
            return failing_since;
        }
        state.reach = Reachability::Reachable;
        state.figures = Some((reply.figures, sent_at));
        if let Some(kept) = reply.cached_adapters {
            state.set_cached_adapters(kept, &mut self.revision);
        }
        failing_since
    }

    /// Records that an agent did not answer, `refused` if its VM refused the connection. Returns whether this is the
    /// first failure since the last reply.
    pub(super) fn record_failure(&mut self, instance: &str, refused: bool, now: Millis) -> bool {
        let Some(state) = self.members.get_mut(instance) else {
            return false;
        };
        let is_first = state.failing_since.is_none();
        state.poll_pending = false;
        state.last_result_at = Some(now);
        let failing_since = *state.failing_since.get_or_insert(now);
        if refused {
            state.reach = Reachability::Reachable;
        } else if now.since(failing_since) >= CUT_OFF_DELAY {
            state.reach = Reachability::Unreachable;
        }
        is_first
    }

    /// Records the reply of another data centre's relay to a query started at `sent_at`.
    pub(super) fn record_centre_reply(
        &mut self,
        query: &CentreQuery,
        reply: ViewReply,
        sent_at: Millis,
        now: Millis,
    ) {
        let centre = self.centres.entry(query.centre.clone()).or_default();
        centre.query_pending = false;
        centre.gateway_count = Some((reply.entries, now));
        centre
            .relays
            .record_reply(query.pick.key, query.digest, &reply);
        for view_row in reply.rows {
            let Some(state) = self.members.get_mut(&view_row.instance) else {
                continue;
            };
            state.last_result_at = Some(now);
            state.reach = view_row.reach;
            if let Some(figures) = view_row.figures {
                // The age counts from the start of the query, so that it is never underestimated.
                state.figures = Some((figures, sent_at - Millis(view_row.age_ms)));
            }
            if let Some(kept) = view_row.cached_adapters {
                state.set_cached_adapters(kept, &mut self.revision);
            }
        }
    }

    /// Records that the relay of another data centre did not answer.
    pub(super) fn record_centre_failure(&mut self, query: &CentreQuery, now: Millis) {
        let centre = self.centres.entry(query.centre.clone()).or_default();
        centre.query_pending = false;
        // The next relay is queried immediately.
        centre.last_query = None;
        centre.relays.record_failure(query.pick.key, now);
    }
}

impl MemberState {
    fn new(member: Member) -> Self {
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
    fn to_row(&self, since: u64, now: Millis) -> Option<ViewRow> {
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
