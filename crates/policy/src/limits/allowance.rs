//! Allowances of client accounts, shared by all gateways.
//!
//! A gateway is entitled to an equal share of each account's rate and burst. Accounts send too few requests for
//! fixed shares: the next request arrives at any gateway, and one request may need more than a share. Gateways
//! therefore lend their shares to one pool, which accrues each account's rate in proportion to the gateways that
//! are attached to it, and ask the pool for each request.
//!
//! The total is bounded whatever the gateways can reach, because each lends its share to one pool at a time:
//!
//! ```text
//! use in any window  <=  rate * window + burst            accrued by all pools together
//!                      + rate * ATTACHED_TTL              gateways that moved from one pool to another
//!                      + START_PART * tolerance           for each pool that started in the window
//!                      + the largest request              which may overdraw a balance
//! ```
//!
//! The first line assumes that no more gateways exist than are counted. The count is the largest that any
//! process has seen within [`COUNT_TTL`], so that the parts of a divided deployment don't count themselves as
//! the whole. A pool that starts has no balance but the start credit, and needs no memory of earlier grants.

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use super::refusals::RefusalQueues;

/// Time after its last call for which a gateway counts as attached. Gateways call every 300 ms.
pub const ATTACHED_TTL: Millis = Millis(800);

/// Time for which the largest number of gateways is remembered.
pub const COUNT_TTL: Millis = Millis(60_000);

/// Part of an account's tolerance that a new pool starts with. It bridges the time until all gateways are
/// attached.
const START_PART: f64 = 0.25;

/// Time after its last request for which the balance of an account is kept.
const BALANCE_TTL: Millis = Millis(600_000);

/// Limit of an account, as of one configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllowanceTerms {
    /// Number of the configuration.
    pub number: u64,
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a time without use.
    pub burst: f64,
    /// Units by which the use in a window may exceed the limit.
    pub tolerance: f64,
}

/// Outcome of a request for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceDecision {
    /// The units may be used.
    Granted,
    /// The units are not available, but after this time if nothing else is granted.
    Refused(Millis),
}

/// Balances of accounts at one process that grants units to gateways.
#[derive(Clone, Debug)]
pub struct AllowancePool {
    /// Last call of each gateway.
    attached: BTreeMap<String, Millis>,
    /// Number of attached gateways.
    seen: GatewayPeak,
    /// Number of gateways that others have told.
    told: GatewayPeak,
    /// Seconds for which the whole rate has accrued.
    accrued_s: f64,
    accrued_to: Millis,
    balances: BTreeMap<String, Balance>,
    /// Part of the tolerance that balances start with.
    start_part: f64,
    /// Refused requests that have not returned, if the times told are spaced.
    refusals: Option<RefusalQueues>,
}

#[derive(Clone, Copy, Debug)]
struct Balance {
    terms: AllowanceTerms,
    /// Units available; negative after a request that was larger than the burst.
    units: f64,
    /// Value of `accrued_s` up to which the rate is included.
    accrued_s: f64,
    used_at: Millis,
}

impl Default for AllowancePool {
    fn default() -> Self {
        Self::with_start_part(START_PART)
    }
}

impl AllowancePool {
    /// Pool of a gateway that reaches no other pool. It starts without credit, because any number of gateways
    /// may be alone at the same time.
    #[must_use]
    pub fn without_credit() -> Self {
        Self::with_start_part(0.0)
    }

    fn with_start_part(start_part: f64) -> Self {
        Self {
            attached: BTreeMap::new(),
            seen: GatewayPeak::default(),
            told: GatewayPeak::default(),
            accrued_s: 0.0,
            accrued_to: Millis(0),
            balances: BTreeMap::new(),
            start_part,
            refusals: None,
        }
    }

    /// Pool that spaces the times told to refused requests by the units refused before them.
    #[must_use]
    pub fn with_return_times() -> Self {
        Self {
            refusals: Some(RefusalQueues::default()),
            ..Self::default()
        }
    }

    /// Attaches `gateway`, which knows of `told_count` gateways, until [`ATTACHED_TTL`] after its last call.
    pub fn attach(&mut self, gateway: &str, told_count: u32, now: Millis) {
        self.advance(now);
        self.attached.insert(gateway.to_owned(), now);
        let attached = u32::try_from(self.attached.len()).unwrap_or(u32::MAX);
        self.seen.record(attached, now);
        self.told.record(told_count, now);
    }

    /// Largest number of gateways attached recently. Numbers told by others are left out: passed on in
    /// cycles, they would never be forgotten.
    #[must_use]
    pub fn gateway_count(&self, now: Millis) -> u32 {
        self.seen.get(now)
    }

    /// Grants `units` of the allowance of `account` if they are available. Nothing is reserved for later: requests
    /// that could wait longest would otherwise take what accrues from those that can't.
    pub fn request(
        &mut self,
        account: &str,
        terms: AllowanceTerms,
        units: u64,
        now: Millis,
    ) -> AllowanceDecision {
        self.advance(now);
        let (share, accrued_s) = (self.share(now), self.accrued_s);
        let start = terms.tolerance * self.start_part;
        let balance = self
            .balances
            .entry(account.to_owned())
            .or_insert_with(|| Balance {
                terms,
                units: start,
                // The shares of all accounts have been lent since the pool started.
                accrued_s: 0.0,
                used_at: now,
            });
        balance.accrue(accrued_s, share);
        balance.set_terms(terms, share);
        balance.used_at = now;
        let (decision, rate) = (balance.request(units, share), balance.terms.rate * share);
        self.space(account, units, decision, rate, now)
    }

    /// Spaces the time told by a refusal, if that is on. Balances don't depend on it.
    fn space(
        &mut self,
        account: &str,
        units: u64,
        decision: AllowanceDecision,
        rate: f64,
        now: Millis,
    ) -> AllowanceDecision {
        let Some(refusals) = &mut self.refusals else {
            return decision;
        };
        refusals.record_arrival(account, now);
        match decision {
            AllowanceDecision::Granted => decision,
            AllowanceDecision::Refused(wait) => {
                let told = refusals.refuse(account, to_f64(units), wait, rate, now);
                AllowanceDecision::Refused(told)
            }
        }
    }

    /// Part of the rates that accrues here: that of the attached gateways.
    fn share(&self, now: Millis) -> f64 {
        let count = self.seen.get(now).max(self.told.get(now)).max(1);
        let attached = u32::try_from(self.attached.len()).unwrap_or(u32::MAX);
        (f64::from(attached) / f64::from(count)).min(1.0)
    }

    /// Accrues up to `now` and detaches gateways without a recent call.
    fn advance(&mut self, now: Millis) {
        let elapsed = now.since(self.accrued_to).min(ATTACHED_TTL);
        self.accrued_s += elapsed.as_secs() * self.share(now);
        self.accrued_to = now;
        self.attached.retain(|_, at| now.since(*at) < ATTACHED_TTL);
        if self.balances.len() > 1 {
            self.balances
                .retain(|_, b| now.since(b.used_at) < BALANCE_TTL);
        }
    }
}

impl Balance {
    fn accrue(&mut self, accrued_s: f64, share: f64) {
        let units = self.terms.rate * (accrued_s - self.accrued_s);
        self.accrued_s = accrued_s;
        let most = self.terms.burst * share;
        if self.units < most {
            self.units = (self.units + units).min(most);
        }
    }

    /// Applies the terms of a configuration that is not older than the known one.
    fn set_terms(&mut self, terms: AllowanceTerms, share: f64) {
        if terms.number < self.terms.number || terms == self.terms {
            return;
        }
        if terms.burst < self.terms.burst {
            self.units = self.units.min(terms.burst * share);
        }
        self.terms = terms;
    }

    fn request(&mut self, units: u64, share: f64) -> AllowanceDecision {
        let units = to_f64(units);
        // A request that is larger than the burst is granted at the full burst, and overdraws the balance.
        let missing = units.min(self.terms.burst * share) - self.units;
        let wait = wait_for(missing, self.terms.rate * share);
        if wait > Millis(0) {
            return AllowanceDecision::Refused(wait);
        }
        self.units -= units;
        AllowanceDecision::Granted
    }
}

/// Largest number of gateways seen within [`COUNT_TTL`].
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayPeak {
    count: u32,
    seen_at: Millis,
}

impl GatewayPeak {
    /// Records that `count` gateways were seen.
    pub fn record(&mut self, count: u32, now: Millis) {
        if count >= self.get(now) {
            self.count = count;
            self.seen_at = now;
        }
    }

    /// Largest number seen recently; 0 before the first.
    #[must_use]
    pub fn get(&self, now: Millis) -> u32 {
        let recent = now.since(self.seen_at) < COUNT_TTL;
        if recent { self.count } else { 0 }
    }
}

/// Time in which `units` accrue at `rate`, rounded up.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float casts saturate"
)]
pub(super) fn wait_for(units: f64, rate: f64) -> Millis {
    if units <= 0.0 {
        return Millis(0);
    }
    Millis((units / rate * 1_000.0).ceil() as u64)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "tokens of a request fit in 53 bits"
)]
fn to_f64(n: u64) -> f64 {
    n as f64
}
