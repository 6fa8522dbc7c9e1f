//! Requests for units of client accounts' allowances, which an agent grants to all gateways.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{Account, Topic};
use pumicecleat_net::{SHORT_ANSWER, post_ext};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{
    AllowanceDecision, AllowancePool, AllowanceTerms, GatewayPeak, PoolSelector,
};
use pumicecleat_types::{AllowanceAsk, AllowanceCall, AllowanceOutcome, AllowanceReply, Millis};

use crate::agents::engines;
use crate::shared::Shared;

/// Path of the exchange.
pub(crate) const ALLOWANCE_PATH: &str = "/peer/v1/allowance";

/// Interval between calls that keep this gateway attached to the pool.
pub(crate) const ATTACH_INTERVAL: Millis = Millis(300);

/// Interval between checks whether such a call is due.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a call. A healthy agent responds within a few milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of agents that a request asks before this gateway's own share decides.
const MAX_POOLS: u32 = 2;

/// Longest wait for units of an allowance, after which a request asks once more. It is shorter than what a
/// caller needs to come back, and the same for all requests of an account.
const MAX_WAIT: Millis = Millis(50);

/// Tolerance of the operators' limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tolerance {
    /// Window over which use is counted.
    pub(crate) window: Duration,
    /// Part of the limit by which it may be exceeded.
    pub(crate) overage: f64,
    /// Units by which it may be exceeded in addition.
    pub(crate) slack: f64,
}

/// State of the requests for units.
#[derive(Debug)]
pub(crate) struct Allowances {
    tolerance: Tolerance,
    selector: RefCell<PoolSelector>,
    /// Pool that answered last.
    pool: Cell<Option<SocketAddr>>,
    called_at: Cell<Millis>,
    /// Number of gateways, as told by pools.
    gateways: RefCell<GatewayPeak>,
    /// This gateway's own share, while no pool answers.
    own_share: RefCell<Option<AllowancePool>>,
}

impl Allowances {
    pub(crate) fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            selector: RefCell::default(),
            pool: Cell::default(),
            called_at: Cell::default(),
            gateways: RefCell::default(),
            own_share: RefCell::default(),
        }
    }

    /// Terms of an account, as of configuration `number`; `None` if it has no limit.
    fn terms(&self, account: &Account, number: u64) -> Option<AllowanceTerms> {
        let allowance = account.allowance?;
        let limit = allowance.rate * self.tolerance.window.as_secs_f64() + allowance.burst;
        Some(AllowanceTerms {
            number,
            rate: allowance.rate,
            burst: allowance.burst,
            tolerance: limit * self.tolerance.overage + self.tolerance.slack,
        })
    }
}

/// Takes what a request that declares `tokens` uses from the allowance of `account`, as of configuration
/// `number`; fails with the time after which it is available.
pub(crate) async fn take(
    shared: &Shared,
    account: &Account,
    number: u64,
    tokens: Option<u64>,
) -> Result<(), Millis> {
    let terms = shared.allowances.terms(account, number);
    let (Some(terms), Some(allowance)) = (terms, account.allowance) else {
        return Ok(());
    };
    let ask = AllowanceAsk {
        account: account.name.clone(),
        number: terms.number,
        rate: terms.rate,
        burst: terms.burst,
        tolerance: terms.tolerance,
        units: allowance.cost(tokens),
    };
    let mut retry_after = decide(shared, &ask, terms).await;
    if let Some(wait) = retry_after.filter(|wait| *wait <= MAX_WAIT) {
        shared.timer.sleep(Duration::from_millis(wait.0)).await;
        retry_after = decide(shared, &ask, terms).await;
    }
    shared.exceeded.record(shared, &account.name, retry_after);
    retry_after.map_or(Ok(()), Err)
}

/// Decides on `ask`; returns the time after which to ask again if it is refused.
async fn decide(shared: &Shared, ask: &AllowanceAsk, terms: AllowanceTerms) -> Option<Millis> {
    let outcome = match ask_pools(shared, ask).await {
        Some(outcome) => outcome,
        None => ask_own_share(shared, ask, terms),
    };
    match outcome {
        AllowanceOutcome::Granted => None,
        AllowanceOutcome::Refused { retry_ms } => Some(Millis(retry_ms)),
    }
}

/// Asks pools in the order of their ranks; returns `None` if none answers.
async fn ask_pools(shared: &Shared, ask: &AllowanceAsk) -> Option<AllowanceOutcome> {
    for _ in 0..MAX_POOLS {
        let sides = sides(shared);
        let side = shared.allowances.selector.borrow().pick(&sides)?;
        let reply = call(shared, side, Some(ask.clone())).await;
        if let Some(outcome) = reply.and_then(|r| r.outcome) {
            return Some(outcome);
        }
    }
    None
}

/// Decides by this gateway's own share of the rate and burst.
fn ask_own_share(shared: &Shared, ask: &AllowanceAsk, terms: AllowanceTerms) -> AllowanceOutcome {
    let now = shared.timer.now();
    let allowances = &shared.allowances;
    let told = allowances.gateways.borrow().get(now);
    let count = told.max(shared.gateway_count.borrow().sharers());
    let mut own_share = allowances.own_share.borrow_mut();
    let own_share = own_share.get_or_insert_with(AllowancePool::without_credit);
    own_share.attach(shared.vm.as_str(), count, now);
    match own_share.request(&ask.account, terms, ask.units, now) {
        AllowanceDecision::Granted => AllowanceOutcome::Granted,
        AllowanceDecision::Refused(wait) => AllowanceOutcome::Refused { retry_ms: wait.0 },
    }
}

/// Addresses of the agents beside the listed engines.
pub(crate) fn sides(shared: &Shared) -> Vec<SocketAddr> {
    let catalog = shared.catalog.borrow();
    let side = |ip| SocketAddr::new(ip, shared.agent_port);
    engines(&catalog).map(|u| side(u.address.ip())).collect()
}

/// Calls the pool at `side`, which attaches this gateway to it.
async fn call(
    shared: &Shared,
    side: SocketAddr,
    ask: Option<AllowanceAsk>,
) -> Option<AllowanceReply> {
    let allowances = &shared.allowances;
    let sent_at = shared.timer.now();
    let boot_sent_at = shared.timer.boot_now();
    allowances.called_at.set(sent_at);
    let message = AllowanceCall {
        entry: shared.vm.clone(),
        entries: allowances.gateways.borrow().get(sent_at),
        max_age_ms: shared.max_told_age.0,
        ask,
        is_limit: false,
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
    let now = shared.timer.now();
    let result: Result<AllowanceReply, _> = result;
    match result {
        Ok(reply) => {
            allowances.selector.borrow_mut().record_answer(side);
            allowances.gateways.borrow_mut().record(reply.entries, now);
            allowances.own_share.take();
            if let Some(read) = reply.confirmed {
                shared.confirmations.note_told(read, boot_sent_at);
                if Some(read.end) > shared.confirmations.known_to() {
                    shared.marks.hint(Topic::Operators, read.end);
                }
            }
            if allowances.pool.replace(Some(side)) != Some(side) {
                let fields = [
                    field("pool", peer.as_str()),
                    field("gateways", reply.entries),
                ];
                shared.log.emit(&events::POOL_CHOSEN, &fields);
            }
            Some(reply)
        }
        Err(e) => {
            allowances.selector.borrow_mut().record_failure(side, now);
            let fields = [field("pool", peer.as_str()), field("error", &e)];
            shared.log.emit(&events::POOL_LOST, &fields);
            None
        }
    }
}

/// Keeps this gateway attached to the pool while the configuration limits accounts, and returns to a pool that
/// answers again. Never returns.
pub(crate) async fn stay_attached(shared: Rc<Shared>) {
    loop {
        shared.timer.sleep(CHECK_INTERVAL).await;
        shared.exceeded.expire(&shared);
        if !shared.needs_keys() {
            continue;
        }
        let now = shared.timer.now();
        let allowances = &shared.allowances;
        let sides = sides(&shared);
        allowances.selector.borrow_mut().retain(&sides);
        let probe = allowances.selector.borrow().probe(&sides, now);
        if let Some(side) = probe {
            call(&shared, side, None).await;
        } else if now.since(allowances.called_at.get()) >= ATTACH_INTERVAL {
            let side = allowances.selector.borrow().pick(&sides);
            if let Some(side) = side {
                call(&shared, side, None).await;
            }
        }
    }
}

/// Tolerance of the limits, from settings.
pub(crate) fn tolerance(settings: &crate::GatewaySettings) -> Tolerance {
    Tolerance {
        window: settings.allowance_window.0,
        overage: settings.allowance_overage,
        slack: settings.allowance_slack,
    }
}
