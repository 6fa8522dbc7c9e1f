//! Allowances of client accounts, shared by all gateways.
//!
//! A gateway is entitled to an equal share of each account's rate and burst. Accounts send too few requests for
//! fixed shares: the next request arrives at any gateway, and one request may need more than a share. Gateways
//! therefore lend their shares to one pool, which accrues each account's rate in proportion to the gateways that
//! are attached to it, and ask the pool for each request.
//!
//! The total is bounded whatever the gateways can reach, because a share accrues at one pool at a time. A gateway
//! that moves to another pool says how long the earlier one may still count it ([`Lender`](crate::Lender)), and the
//! new pool counts it from then on:
//!
//! ```text
//! use in any window  <=  rate * window + burst            accrued by all pools together
//!                      + 2 * START_PART * tolerance       start credits of all gateways together
//!                      + the largest request              for each pool, which may overdraw a balance
//! ```
//!
//! The first line assumes that no more gateways exist than are counted. The count is the largest that any
//! process has seen within [`COUNT_TTL`], so that the parts of a divided deployment don't count themselves as
//! the whole. A gateway that starts again knows no earlier pool: for each such start, its share of the rate may
//! accrue twice for [`ATTACHED_TTL`], and it has its part of the start credit once more.
//!
//! A pool that starts has no balance. Each gateway brings its part of the start credit to it, at most once in a
//! window, and the credit is forfeit after [`CREDIT_TTL`].

use std::collections::BTreeMap;

use pumicecleat_types::Millis;

use super::lender::Loan;

/// Time after its last call for which a gateway counts as attached. Gateways call every 300 ms.
pub const ATTACHED_TTL: Millis = Millis(800);

/// Time for which the largest number of gateways is remembered.
pub const COUNT_TTL: Millis = Millis(60_000);

/// Part of an account's tolerance that all gateways together bring to a new pool. It bridges the time until their
/// shares accrue there.
const START_PART: f64 = 0.25;

/// Time for which start credit may be used.
const CREDIT_TTL: Millis = Millis(2_000);

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
    attached: BTreeMap<String, Attachment>,
    /// Number of attached gateways.
    seen: GatewayPeak,
    /// Number of gateways that others have told.
    told: GatewayPeak,
    /// Seconds for which the whole rate has accrued.
    accrued_s: f64,
    accrued_to: Millis,
    balances: BTreeMap<String, Balance>,
    credit: StartCredit,
}

/// Time during which the share of a gateway accrues.
#[derive(Clone, Copy, Debug)]
struct Attachment {
    from: Millis,
    called_at: Millis,
}

impl Attachment {
    fn until(self) -> Millis {
        self.called_at + ATTACHED_TTL
    }

    fn is_counted(self, now: Millis) -> bool {
        self.from <= now && now < self.until()
    }

    /// Part of the time between `start` and `end` during which the share accrues.
    fn overlap(self, start: Millis, end: Millis) -> Millis {
        end.min(self.until()).since(start.max(self.from))
    }
}

/// Start credit that gateways have brought, as a part of the whole.
#[derive(Clone, Copy, Debug, Default)]
struct StartCredit {
    part: f64,
    brought_at: Millis,
}

impl StartCredit {
    fn bring(&mut self, part: f64, now: Millis) {
        self.part = (self.part + part).min(1.0);
        self.brought_at = now;
    }

    /// Units of an account with `tolerance`.
    fn units(self, tolerance: f64, now: Millis) -> f64 {
        if now.since(self.brought_at) < CREDIT_TTL {
            self.part * START_PART * tolerance
        } else {
            0.0
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Balance {
    terms: AllowanceTerms,
    /// Units available; negative after a request that was larger than the burst.
    units: f64,
    /// Units of the start credit that have been used.
    used_credit: f64,
    /// Value of `accrued_s` up to which the rate is included.
    accrued_s: f64,
    used_at: Millis,
}

impl Default for AllowancePool {
    fn default() -> Self {
        Self {
            attached: BTreeMap::new(),
            seen: GatewayPeak::default(),
            told: GatewayPeak::default(),
            accrued_s: 0.0,
            accrued_to: Millis(0),
            balances: BTreeMap::new(),
            credit: StartCredit::default(),
        }
    }
}

impl AllowancePool {
    /// Attaches `gateway`, which knows of `told_count` gateways, until [`ATTACHED_TTL`] after its last call.
    /// Returns whether its part of the start credit was accepted.
    pub fn attach(&mut self, gateway: &str, told_count: u32, loan: Loan, now: Millis) -> bool {
        self.advance(now);
        let earlier = self.attached.get(gateway).copied();
        let from = match earlier {
            Some(earlier) if loan.lent_for == Millis(0) => earlier.from.min(now),
            _ => now + loan.lent_for,
        };
        let attachment = Attachment {
            from,
            called_at: now,
        };
        self.attached.insert(gateway.to_owned(), attachment);
        let attached = u32::try_from(self.attached.len()).unwrap_or(u32::MAX);
        self.seen.record(attached, now);
        self.told.record(told_count, now);
        let accepts_credit = loan.has_credit && earlier.is_none();
        if accepts_credit {
            self.credit.bring(1.0 / self.count(now), now);
        }
        accepts_credit
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
        let state = PoolState {
            share: self.share(now),
            attached_share: self.part(self.attached.len(), now),
            accrued_s: self.accrued_s,
            credit: self.credit.units(terms.tolerance, now),
        };
        let balance = self
            .balances
            .entry(account.to_owned())
            .or_insert_with(|| Balance {
                terms,
                units: 0.0,
                used_credit: 0.0,
                // The shares of all accounts have been lent since the pool started.
                accrued_s: 0.0,
                used_at: now,
            });
        balance.accrue(&state);
        balance.set_terms(terms, state.share);
        balance.used_at = now;
        balance.request(units, &state)
    }

    /// Number of gateways that the rates are divided by.
    fn count(&self, now: Millis) -> f64 {
        let count = self.seen.get(now).max(self.told.get(now)).max(1);
        f64::from(count)
    }

    /// Part of the rates that `gateways` are entitled to.
    fn part(&self, gateways: usize, now: Millis) -> f64 {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        (f64::from(gateways) / self.count(now)).min(1.0)
    }

    /// Part of the rates that accrues here.
    fn share(&self, now: Millis) -> f64 {
        let counted = self.attached.values().filter(|a| a.is_counted(now));
        self.part(counted.count(), now)
    }

    /// Accrues up to `now` and detaches gateways without a recent call.
    fn advance(&mut self, now: Millis) {
        let start = self.accrued_to;
        let overlaps = self.attached.values().map(|a| a.overlap(start, now));
        let counted_s: f64 = overlaps.map(Millis::as_secs).sum();
        let elapsed_s = now.since(start).as_secs();
        self.accrued_s += (counted_s / self.count(now)).min(elapsed_s);
        self.accrued_to = now;
        self.attached.retain(|_, a| now < a.until());
        if self.balances.len() > 1 {
            self.balances
                .retain(|_, b| now.since(b.used_at) < BALANCE_TTL);
        }
    }
}

/// What a balance needs to know of its pool.
struct PoolState {
    /// Part of the rates that accrues now.
    share: f64,
    /// The same, once all attached gateways are counted.
    attached_share: f64,
    accrued_s: f64,
    /// Units of the start credit.
    credit: f64,
}

impl Balance {
    /// Adds what has accrued. Gateways that left have taken their part of the burst along.
    fn accrue(&mut self, state: &PoolState) {
        let units = self.terms.rate * (state.accrued_s - self.accrued_s);
        self.accrued_s = state.accrued_s;
        self.units = (self.units + units).min(self.terms.burst * state.share);
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

    fn request(&mut self, units: u64, state: &PoolState) -> AllowanceDecision {
        let units = to_f64(units);
        let credit = (state.credit - self.used_credit).max(0.0);
        // A request that is larger than the burst is granted at the full burst, and overdraws the balance.
        let needed = if state.share > 0.0 {
            units.min(self.terms.burst * state.share)
        } else {
            units
        };
        let missing = needed - self.units - credit;
        if missing > 0.0 {
            let rate = self.terms.rate * state.attached_share;
            return AllowanceDecision::Refused(wait_for(missing, rate));
        }
        let from_credit = units.min(credit);
        self.used_credit += from_credit;
        self.units -= units - from_credit;
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
fn wait_for(units: f64, rate: f64) -> Millis {
    Millis((units / rate * 1_000.0).ceil() as u64)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "tokens of a request fit in 53 bits"
)]
fn to_f64(n: u64) -> f64 {
    n as f64
}
