//! Typical speed of a service's engines, for agents that have just started.
//!
//! Each agent measures its own engine. Every exchange also gives it the median engine of the service, so that
//! an agent that restarts does not begin without an estimate.

use std::collections::BTreeMap;

use pumicecleat_types::{EngineTraits, Millis, ServiceId};

use crate::shared::Shared;

/// Time after which the median is computed again. Long compared to the interval between exchanges with an
/// agent, short compared to the start of an engine.
const REFRESH_INTERVAL: Millis = Millis(1_000);

/// Median traits by service, and when they were computed.
#[derive(Debug, Default)]
pub(crate) struct ServiceTraits {
    by_service: BTreeMap<ServiceId, (EngineTraits, Millis)>,
}

/// Traits of the median engine of `service`.
pub(crate) fn service_traits(shared: &Shared, service: &ServiceId) -> EngineTraits {
    let now = shared.timer.now();
    let cached = shared
        .service_traits
        .borrow()
        .by_service
        .get(service)
        .copied();
    if let Some((traits, computed_at)) = cached
        && now.since(computed_at) < REFRESH_INTERVAL
    {
        return traits;
    }
    let traits = compute_median(shared, service);
    let mut cache = shared.service_traits.borrow_mut();
    cache.by_service.insert(service.clone(), (traits, now));
    traits
}

fn compute_median(shared: &Shared, service: &ServiceId) -> EngineTraits {
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
    EngineTraits::median(traits.into_iter())
}
