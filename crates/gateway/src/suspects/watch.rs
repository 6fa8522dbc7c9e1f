//! Determines whether an upstream has ended after connections to it were lost.
//!
//! A connection may also be lost because of the network or of a single request. An upstream has ended if its
//! VM refuses connections, if a later start of it or another instance is listed at its address, or if it does
//! not respond and is removed from the list.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::Upstream;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::end_key;

use super::record_ends;
use crate::shared::Shared;

/// Delay before the first probe of an upstream and interval between probes. The listener closes shortly after
/// its connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a probe.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    Reachable,
    Unreachable,
    Refused,
}

/// Watches `upstream` until it is known whether it has ended.
pub(super) async fn watch_upstream(shared: Rc<Shared>, upstream: Upstream) {
    let key = end_key(&upstream.instance, upstream.born);
    let mut probe_result = ProbeResult::Reachable;
    loop {
        shared.timer.sleep(PROBE_INTERVAL).await;
        let now = shared.timer.now();
        if !shared
            .suspects
            .lost_connections
            .borrow_mut()
            .prune(key, now)
        {
            return;
        }
        if shared
            .suspects
            .lost_connections
            .borrow_mut()
            .take_unprobed(key)
        {
            probe_result = probe(&shared, &upstream).await;
        }
        if let Some(sign) = find_end_sign(&shared, &upstream, probe_result) {
            return handle_end(&shared, &upstream, key, sign).await;
        }
    }
}

async fn probe(shared: &Shared, upstream: &Upstream) -> ProbeResult {
    let peer = upstream.address.to_string();
    match shared.upstream_client.open(&peer).await {
        Ok(()) => ProbeResult::Reachable,
        Err(e) if e.is_refused() => ProbeResult::Refused,
        Err(_) => ProbeResult::Unreachable,
    }
}

/// Evidence that `upstream` has ended, if there is any.
fn find_end_sign(
    shared: &Shared,
    upstream: &Upstream,
    probe_result: ProbeResult,
) -> Option<&'static str> {
    if probe_result == ProbeResult::Refused {
        return Some("refuses connections");
    }
    let catalog = shared.catalog.borrow();
    let listed = catalog.upstream(&upstream.instance);
    if listed.is_some_and(|u| u.born > upstream.born) {
        return Some("restarted");
    }
    let is_at_same_address =
        |u: &Upstream| u.address == upstream.address && u.service == upstream.service;
    if catalog
        .upstreams()
        .any(|u| u.instance != upstream.instance && is_at_same_address(u))
    {
        return Some("another instance at its address");
    }
    let is_gone = probe_result == ProbeResult::Unreachable && listed.is_none();
    is_gone.then_some("unreachable and removed from the list")
}

/// Records the end for the requests that were in progress, and for those whose lost connection becomes known
/// later.
async fn handle_end(shared: &Rc<Shared>, upstream: &Upstream, key: u64, sign: &str) {
    let now = shared.timer.now();
    let requests = shared
        .suspects
        .lost_connections
        .borrow_mut()
        .record_end(key, now);
    let fields = [
        field("instance", upstream.instance.as_str()),
        field("sign", sign),
        field("requests", requests.len()),
    ];
    shared.log.emit(&events::UPSTREAM_ENDED, &fields);
    shared.meters.count_suspect("end");
    record_ends(shared, upstream, &requests);
    while shared
        .suspects
        .lost_connections
        .borrow_mut()
        .prune(key, shared.timer.now())
    {
        shared.timer.sleep(PROBE_INTERVAL).await;
    }
}
