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

use super::blame;
use crate::shared::Shared;

/// Delay before the first probe of an upstream and interval between probes. The listener closes shortly after
/// its connections.
const LOOK: Duration = Duration::from_millis(50);

/// Result of a probe.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Found {
    Sound,
    Silent,
    Refuses,
}

/// Watches `upstream` until it is known whether it has ended.
pub(super) async fn watch(shared: Rc<Shared>, upstream: Upstream) {
    let key = end_key(&upstream.instance, upstream.born);
    let mut found = Found::Sound;
    loop {
        shared.timer.sleep(LOOK).await;
        let now = shared.timer.now();
        if !shared.guard.breaks.borrow_mut().settle(key, now) {
            return;
        }
        if shared.guard.breaks.borrow_mut().take_fresh(key) {
            found = look(&shared, &upstream).await;
        }
        if let Some(sign) = sign(&shared, &upstream, found) {
            return end(&shared, &upstream, key, sign).await;
        }
    }
}

async fn look(shared: &Shared, upstream: &Upstream) -> Found {
    let peer = upstream.address.to_string();
    match shared.client.open(&peer).await {
        Ok(()) => Found::Sound,
        Err(e) if e.is_refused() => Found::Refuses,
        Err(_) => Found::Silent,
    }
}

/// Evidence that `upstream` has ended, if there is any.
fn sign(shared: &Shared, upstream: &Upstream, found: Found) -> Option<&'static str> {
    if found == Found::Refuses {
        return Some("refuses connections");
    }
    let catalog = shared.catalog.borrow();
    let listed = catalog.upstream(&upstream.instance);
    if listed.is_some_and(|u| u.born > upstream.born) {
        return Some("started again");
    }
    let here = |u: &Upstream| u.address == upstream.address && u.service == upstream.service;
    if catalog
        .upstreams()
        .any(|u| u.instance != upstream.instance && here(u))
    {
        return Some("another at its address");
    }
    let gone = found == Found::Silent && listed.is_none();
    gone.then_some("silent and gone from the list")
}

/// Records the end for the requests that were in progress, and for those whose lost connection becomes known
/// later.
async fn end(shared: &Rc<Shared>, upstream: &Upstream, key: u64, sign: &str) {
    let now = shared.timer.now();
    let requests = shared.guard.breaks.borrow_mut().end(key, now);
    let fields = [
        field("instance", upstream.instance.as_str()),
        field("sign", sign),
        field("requests", requests.len()),
    ];
    shared.log.emit(&events::UPSTREAM_ENDED, &fields);
    shared.meters.count_suspect("end");
    blame(shared, upstream, &requests);
    while shared
        .guard
        .breaks
        .borrow_mut()
        .settle(key, shared.timer.now())
    {
        shared.timer.sleep(LOOK).await;
    }
}
