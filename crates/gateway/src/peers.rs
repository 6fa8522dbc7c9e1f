//! How fast the engines of a service work, for agents that have just started.
//!
//! Every agent learns from its own engine. What the middle engine of the service was found to do goes
//! to all of them with each exchange, so that one which starts again does not begin from nothing.

use std::collections::BTreeMap;

use pumicecleat_types::{EngineTraits, Millis, ServiceId};

use crate::shared::Shared;

/// Time after which the middle is looked for again: long against an exchange with each agent, short
/// against the start of an engine.
const SPAN: Millis = Millis(1_000);

/// Middle figures by service, and when they were looked for.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    services: BTreeMap<ServiceId, (EngineTraits, Millis)>,
}

/// What the middle engine of `service` was found to do.
pub(crate) fn peers(shared: &Shared, service: &ServiceId) -> EngineTraits {
    let now = shared.timer.now();
    let known = shared.peers.borrow().services.get(service).copied();
    if let Some((traits, at)) = known
        && now.since(at) < SPAN
    {
        return traits;
    }
    let traits = look(shared, service);
    let mut peers = shared.peers.borrow_mut();
    peers.services.insert(service.clone(), (traits, now));
    traits
}

fn look(shared: &Shared, service: &ServiceId) -> EngineTraits {
    let catalog = shared.catalog.borrow();
    let figures = |instance: &str| {
        shared
            .table
            .with(instance, |r| r.figures.as_ref().map(|f| f.0.traits))
    };
    let traits: Vec<EngineTraits> = catalog
        .ready_upstreams(service)
        .filter_map(|u| figures(&u.instance))
        .collect();
    EngineTraits::middle(traits.into_iter())
}
