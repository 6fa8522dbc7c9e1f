//! Engines that suit a request best, for gateways that don't know the figures of all engines.
//!
//! A gateway sends a few requests a second. If it knew the figures of all engines, each relay would send as many rows as
//! gateways times engines, many times a second. Instead, a gateway asks for the best engines when a request arrives.
//! Then it asks the engines' agents for a turn, as they decide.

use pumicecleat_policy::{EngineChoice, EngineNeeds, EngineView, name_key};
use pumicecleat_types::{CandidatesCall, CandidatesReply, Member};

use crate::shared::Shared;

/// Number of engines in a reply: those that a gateway asks at once, and two that it waits at instead.
const MAX_CANDIDATES: usize = 8;

/// Answers a request for the engines that suit a request best.
pub(crate) fn answer_candidates(shared: &Shared, call: &CandidatesCall) -> CandidatesReply {
    let now = shared.timer.now();
    let Some(instances) = listed_instances(shared, call) else {
        return CandidatesReply::default();
    };
    let needs = EngineNeeds {
        adapter: call.adapter.as_deref(),
        min_version: call.min_version,
        prompt_tokens: call.prompt_tokens,
    };
    let mut state = shared.relay.borrow_mut();
    let own_centre = state.own_centre().clone();
    let mut known: Vec<(&str, EngineView)> = Vec::with_capacity(instances.len());
    for instance in &instances {
        let member = state.member_mut(instance);
        if let Some(view) = member.and_then(|m| m.view(&needs, &own_centre, now)) {
            known.push((instance, view));
        }
    }
    let views: Vec<EngineView> = known.iter().map(|(_, view)| *view).collect();
    let choice = EngineChoice::new(name_key(needs.adapter.unwrap_or_default()));
    let best = choice.rank(&views, MAX_CANDIDATES);
    let mut rows = Vec::with_capacity(best.len());
    for (rank, index) in best.into_iter().enumerate() {
        let (instance, view) = known[index];
        let Some(member) = state.member_mut(instance) else {
            continue;
        };
        if rank == 0 {
            member.record_proposal(&view, now);
        }
        rows.push(member.to_candidate(needs.adapter, now));
    }
    CandidatesReply { rows: Some(rows) }
}

/// Instances of the call's service that accept requests; `None` while this agent doesn't follow the list.
fn listed_instances(shared: &Shared, call: &CandidatesCall) -> Option<Vec<String>> {
    let catalog = shared.stream_catalog.borrow().clone()?;
    let catalog = catalog.borrow();
    let ready = catalog.ready_upstreams(&call.service);
    let wanted = ready.filter(|u| !call.without.contains(&u.instance));
    Some(wanted.map(|u| u.instance.clone()).collect())
}

/// Engines of the list, with the addresses of their agents.
pub(super) fn listed_members(shared: &Shared) -> Vec<Member> {
    let Some(catalog) = shared.stream_catalog.borrow().clone() else {
        return Vec::new();
    };
    let catalog = catalog.borrow();
    let Some(layout) = catalog.layout() else {
        return Vec::new();
    };
    let mut side = shared.relay.borrow().own_address();
    let engines = catalog
        .upstreams()
        .filter(|u| layout.engine(&u.service).is_some());
    let members = engines.map(|u| {
        side.set_ip(u.address.ip());
        Member {
            instance: u.instance.clone(),
            centre: u.centre.clone(),
            side,
        }
    });
    members.collect()
}
