//! State of a relay: its callers, the engines that they request, and the results of the exchanges about them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_policy::{RelayPick, RelaySelector, members_digest, name_key};
use pumicecleat_types::{
    CachedAdapters, ChangeCursor, DataCentre, EngineFigures, FiguresReply, Member, Millis,
    ViewCall, ViewReply, Viewer, VmId,
};

use super::member::MemberState;
use crate::gateways::RecentGateways;

/// Time after its last call for which figures are collected for a caller: five intervals between its calls.
const CALLER_TTL: Millis = Millis(1_000);

/// Interval between queries to the relay of another data centre.
const CENTRE_QUERY_INTERVAL: Millis = Millis(150);

/// A caller and the members that it requests.
struct Caller {
    viewer: Viewer,
    digest: u64,
    members: Rc<Vec<Member>>,
    last_call: Millis,
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
            if is_polled && let Some(known_digest) = state.start_poll(now) {
                due.agents.push((state.member.clone(), known_digest));
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
        state.record_reply(reply, (sent_at, now), &mut self.revision)
    }

    /// Records that an agent did not answer, `refused` if its VM refused the connection. Returns whether this is the
    /// first failure since the last reply.
    pub(super) fn record_failure(&mut self, instance: &str, refused: bool, now: Millis) -> bool {
        let state = self.members.get_mut(instance);
        state.is_some_and(|state| state.record_failure(refused, now))
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
            if let Some(state) = self.members.get_mut(&view_row.instance) {
                state.record_row(view_row, (sent_at, now), &mut self.revision);
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
