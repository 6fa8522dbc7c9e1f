//! The share that one gateway lends to pools of allowances.

use std::net::SocketAddr;

use pumicecleat_types::Millis;

use super::allowance::ATTACHED_TTL;

/// What a gateway lends to a pool with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loan {
    /// Time for which other pools may still count the gateway's share.
    pub lent_for: Millis,
    /// Whether the gateway brings its part of the start credit.
    pub has_credit: bool,
}

/// Lends the share of one gateway to one pool at a time.
#[derive(Clone, Copy, Debug)]
pub struct Lender {
    /// Longest time that a call may be under way.
    max_delay: Millis,
    /// Window in which start credit is brought at most once.
    window: Millis,
    pool: Option<SocketAddr>,
    /// Time until which `pool` may count the share.
    lent_until: Millis,
    /// The same for the pools before it.
    earlier_until: Millis,
    /// Time at which start credit was last brought.
    credited_at: Option<Millis>,
}

impl Lender {
    /// Lender of a gateway whose calls are under way for at most `max_delay`.
    #[must_use]
    pub fn new_ext(max_delay: Millis, window: Millis) -> Self {
        Self {
            max_delay,
            window,
            pool: None,
            lent_until: Millis(0),
            earlier_until: Millis(0),
            credited_at: None,
        }
    }

    /// Lends the share to `pool` by a call that starts at `now`.
    pub fn lend(&mut self, pool: SocketAddr, now: Millis) -> Loan {
        if self.pool != Some(pool) {
            self.leave_pool();
            self.pool = Some(pool);
        }
        self.lent_until = now + self.max_delay + ATTACHED_TTL;
        let has_credit = self
            .credited_at
            .is_none_or(|at| now.since(at) > self.window);
        if has_credit {
            self.credited_at = Some(now);
        }
        Loan {
            lent_for: self.earlier_until.since(now),
            has_credit,
        }
    }

    /// Records that a pool did not accept the start credit of a call.
    pub fn return_credit(&mut self) {
        self.credited_at = None;
    }

    /// Uses the share at the gateway itself from `now` on.
    pub fn keep(&mut self, now: Millis) -> Loan {
        self.leave_pool();
        Loan {
            lent_for: self.earlier_until.since(now),
            has_credit: false,
        }
    }

    fn leave_pool(&mut self) {
        if self.pool.take().is_some() {
            self.earlier_until = self.earlier_until.max(self.lent_until);
        }
    }
}
