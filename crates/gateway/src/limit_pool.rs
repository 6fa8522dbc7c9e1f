//! Slots of plain upstreams' rate limits, which an agent grants to all gateways.
//!
//! No message is sent while no plain upstream is known to have a limit.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::Upstream;
use pumicecleat_net::{SHORT_ANSWER, post_ext};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{GatewayPeak, PoolSelector, SlotQueue, limit_terms};
use pumicecleat_types::{AllowanceAsk, AllowanceCall, AllowanceOutcome, AllowanceReply, Millis};

use crate::allowance::{ALLOWANCE_PATH, ATTACH_INTERVAL, CHECK_INTERVAL, sides};
use crate::shared::Shared;

/// Timeout of a call. A healthy agent responds within a few milliseconds, and objectives of plain services begin at
/// 100 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// State of the requests for slots.
#[derive(Debug, Default)]
pub(crate) struct LimitPool {
    selector: RefCell<PoolSelector>,
    /// Pool that answered last; `None` if this gateway uses its own shares.
    pool: Cell<Option<SocketAddr>>,
    attached_at: Cell<Millis>,
    /// Number of gateways, as told by pools.
    gateways: RefCell<GatewayPeak>,
    /// Requests that wait for slots.
    queue: RefCell<SlotQueue>,
}

/// Answer of a pool to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PoolAnswer {
    /// The request may be sent.
    Granted,
    /// The pool has no slot before this time has passed.
    Refused(Millis),
    /// No pool answers, or the upstream has no limit: the gateway's own share decides.
    OwnShare,
}

/// Time until a request to `upstream` may ask for a slot, as far as this gateway knows.
pub(crate) fn wait(shared: &Shared, upstream: &Upstream) -> Millis {
    if shared.limit_pool.pool.get().is_none() {
        return shared.limit_wait(upstream);
    }
    if shared.rate_limit(upstream).is_none() {
        return Millis(0);
    }
    let queue = shared.limit_pool.queue.borrow();
    queue.wait(&upstream.instance, shared.timer.now())
}

/// Takes a place among the requests that wait for a slot of `upstream`; returns the time after which to ask.
pub(crate) fn enter(shared: &Shared, upstream: &Upstream) -> Millis {
    let rate = shared.rate_limit(upstream);
    let (Some(rate), Some(_)) = (rate, shared.limit_pool.pool.get()) else {
        return Millis(0);
    };
    let mut queue = shared.limit_pool.queue.borrow_mut();
    queue.enter(&upstream.instance, rate, shared.timer.now())
}

/// Asks the pool for a slot of `upstream`.
pub(crate) async fn request(shared: &Shared, upstream: &Upstream) -> PoolAnswer {
    let Some(rate) = shared.rate_limit(upstream) else {
        return PoolAnswer::OwnShare;
    };
    let sides = sides(shared);
    let Some(side) = shared.limit_pool.selector.borrow().pick(&sides) else {
        shared.limit_pool.pool.set(None);
        return PoolAnswer::OwnShare;
    };
    let terms = limit_terms(rate);
    let ask = AllowanceAsk {
        account: upstream.instance.clone(),
        number: terms.number,
        rate: terms.rate,
        burst: terms.burst,
        tolerance: terms.tolerance,
        units: 1,
    };
    let reply = call(shared, side, Some(ask)).await;
    let Some(outcome) = reply.and_then(|reply| reply.outcome) else {
        return PoolAnswer::OwnShare;
    };
    let now = shared.timer.now();
    shared
        .limits
        .borrow_mut()
        .note_lent(&upstream.instance, now);
    match outcome {
        AllowanceOutcome::Granted => {
            shared.meters.count_limited(&upstream.service, "granted");
            PoolAnswer::Granted
        }
        AllowanceOutcome::Refused { retry_ms } => {
            let wait = Millis(retry_ms);
            let mut queue = shared.limit_pool.queue.borrow_mut();
            queue.note_refused(&upstream.instance, wait, now);
            PoolAnswer::Refused(wait)
        }
    }
}

/// Calls the pool at `side`, which attaches this gateway to it.
async fn call(
    shared: &Shared,
    side: SocketAddr,
    ask: Option<AllowanceAsk>,
) -> Option<AllowanceReply> {
    let state = &shared.limit_pool;
    let told = state.gateways.borrow().get(shared.timer.now());
    let message = AllowanceCall {
        entry: shared.vm.clone(),
        entries: told.max(shared.limit_sharers()),
        max_age_ms: 0,
        ask,
        is_limit: true,
    };
    let peer = side.to_string();
    let client = &shared.agent_client;
    let result = post_ext(
        client,
        &peer,
        ALLOWANCE_PATH,
        &message,
        CALL_TIMEOUT,
        SHORT_ANSWER,
    )
    .await;
    let result: Result<AllowanceReply, _> = result;
    let now = shared.timer.now();
    match result {
        Ok(reply) => {
            state.selector.borrow_mut().record_answer(side);
            state.gateways.borrow_mut().record(reply.entries, now);
            if state.pool.replace(Some(side)) != Some(side) {
                let gateways = field("gateways", reply.entries);
                let fields = [field("pool", peer.as_str()), gateways];
                shared.log.emit(&events::LIMIT_POOL_CHOSEN, &fields);
            }
            Some(reply)
        }
        Err(e) => {
            state.selector.borrow_mut().record_failure(side, now);
            state.pool.set(None);
            let fields = [field("pool", peer.as_str()), field("error", &e)];
            shared.log.emit(&events::LIMIT_POOL_LOST, &fields);
            None
        }
    }
}

/// Keeps this gateway attached to the pool while a plain upstream has a limit, and returns to a pool that answers
/// again. Never returns.
pub(crate) async fn stay_attached(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        let limited = limited_instances(&shared);
        let state = &shared.limit_pool;
        if limited.is_empty() {
            state.pool.set(None);
            continue;
        }
        let now = shared.timer.now();
        let sides = sides(&shared);
        state.selector.borrow_mut().retain(&sides);
        let due = now.since(state.attached_at.get()) >= ATTACH_INTERVAL;
        let attach = state.selector.borrow().pick(&sides).filter(|_| due);
        let probe = state.selector.borrow().probe(&sides, now);
        if attach.is_some() {
            state.attached_at.set(now);
        }
        for side in [probe, attach].into_iter().flatten() {
            if call(&shared, side, None).await.is_some() {
                note_lent(&shared, &limited);
                break;
            }
        }
    }
}

/// Records that this gateway lends its shares of the limits of `instances`.
fn note_lent(shared: &Shared, instances: &[String]) {
    let now = shared.timer.now();
    let mut limits = shared.limits.borrow_mut();
    for instance in instances {
        limits.note_lent(instance, now);
    }
}

/// Plain upstreams that have a limit.
fn limited_instances(shared: &Shared) -> Vec<String> {
    if shared.limits.borrow().is_empty() {
        return Vec::new();
    }
    let catalog = shared.catalog.borrow();
    let layout = catalog.layout();
    let is_plain = |u: &&Upstream| layout.is_some_and(|l| l.engine(&u.service).is_none());
    let plain = catalog.upstreams().filter(is_plain);
    let limited = plain.filter(|u| shared.rate_limit(u).is_some());
    limited.map(|u| u.instance.clone()).collect()
}
