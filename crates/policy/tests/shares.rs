//! Max-min shares of client accounts: which accounts are above their share.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_policy::AccountShares;
use pumicecleat_types::Millis;

/// Decision under test.
trait Decision {
    fn record_grant(&mut self, account: &str, tokens: u64, now: Millis);

    fn above_share(&self, waiting: &BTreeMap<&str, u64>, now: Millis) -> BTreeSet<String>;
}

impl Decision for AccountShares {
    fn record_grant(&mut self, account: &str, tokens: u64, now: Millis) {
        AccountShares::record_grant(self, account, tokens, now);
    }

    fn above_share(&self, waiting: &BTreeMap<&str, u64>, now: Millis) -> BTreeSet<String> {
        AccountShares::above_share(self, waiting, now)
    }
}

/// Mutant: shares in proportion to the demand.
#[derive(Default)]
struct ProportionalShares {
    granted: BTreeMap<String, f64>,
    updated_at: Millis,
}

impl Decision for ProportionalShares {
    #[allow(clippy::cast_precision_loss, reason = "small numbers of tokens")]
    fn record_grant(&mut self, account: &str, tokens: u64, now: Millis) {
        let factor = (-now.since(self.updated_at).as_secs() / 4.0).exp2();
        self.granted.values_mut().for_each(|g| *g *= factor);
        self.updated_at = now;
        *self.granted.entry(account.to_owned()).or_default() += tokens as f64;
    }

    #[allow(clippy::cast_precision_loss, reason = "small numbers of tokens")]
    fn above_share(&self, waiting: &BTreeMap<&str, u64>, now: Millis) -> BTreeSet<String> {
        let factor = (-now.since(self.updated_at).as_secs() / 4.0).exp2();
        let total: f64 = self.granted.values().sum::<f64>() * factor;
        let waits = |account: &str| waiting.get(account).map_or(0.0, |w| *w as f64);
        let demand = total + waiting.values().sum::<u64>() as f64;
        let above = self.granted.iter().filter(|(account, granted)| {
            let granted = **granted * factor;
            granted > total * (granted + waits(account)) / demand + 1e-6
        });
        above.map(|(account, _)| account.clone()).collect()
    }
}

/// Mutant: what was granted never loses weight.
#[derive(Default)]
struct UndecayedShares(AccountShares);

impl Decision for UndecayedShares {
    fn record_grant(&mut self, account: &str, tokens: u64, _: Millis) {
        self.0.record_grant(account, tokens, Millis(0));
    }

    fn above_share(&self, waiting: &BTreeMap<&str, u64>, _: Millis) -> BTreeSet<String> {
        self.0.above_share(waiting, Millis(0))
    }
}

struct Case {
    name: &'static str,
    /// Grants: account, tokens, time in ms.
    grants: &'static [(&'static str, u64, u64)],
    waiting: &'static [(&'static str, u64)],
    now: u64,
    above: &'static [&'static str],
}

const CASES: [Case; 16] = [
    Case {
        name: "no accounts at all",
        grants: &[],
        waiting: &[],
        now: 1_000,
        above: &[],
    },
    Case {
        name: "a new agent knows no usage",
        grants: &[],
        waiting: &[("large", 50_000), ("small", 500)],
        now: 1_000,
        above: &[],
    },
    Case {
        name: "ten times the demand of the others",
        grants: &[("a", 1_000, 0), ("b", 1_000, 0), ("large", 9_000, 0)],
        waiting: &[("a", 300), ("b", 300), ("large", 30_000)],
        now: 0,
        above: &["large"],
    },
    Case {
        name: "the first request of a small account",
        grants: &[("large", 100_000, 0)],
        waiting: &[("small", 10), ("large", 100_000)],
        now: 0,
        above: &["large"],
    },
    Case {
        name: "several large accounts at their equal parts",
        grants: &[("x", 4_500, 0), ("y", 4_500, 0), ("a", 1_000, 0)],
        waiting: &[("x", 20_000), ("y", 40_000)],
        now: 0,
        above: &[],
    },
    Case {
        name: "several large accounts and one that waits for its share",
        grants: &[("x", 4_500, 0), ("y", 4_500, 0), ("a", 500, 0)],
        waiting: &[("x", 20_000), ("y", 20_000), ("a", 500)],
        now: 0,
        above: &["x", "y"],
    },
    Case {
        name: "one of several large accounts got more",
        grants: &[("x", 5_000, 0), ("y", 4_000, 0), ("a", 1_000, 0)],
        waiting: &[("x", 20_000), ("y", 20_000)],
        now: 0,
        above: &["x"],
    },
    Case {
        name: "what others leave unused may be taken",
        grants: &[("a", 100, 0), ("b", 200, 0), ("large", 9_000, 0)],
        waiting: &[("large", 50_000)],
        now: 0,
        above: &[],
    },
    Case {
        name: "nobody waits",
        grants: &[("a", 100, 0), ("large", 9_000, 0)],
        waiting: &[],
        now: 0,
        above: &[],
    },
    Case {
        name: "equal demand",
        grants: &[("a", 700, 0), ("b", 700, 0), ("c", 700, 0)],
        waiting: &[("a", 2_000), ("b", 2_000), ("c", 2_000)],
        now: 3_000,
        above: &[],
    },
    Case {
        name: "equal usage and unequal demand",
        grants: &[("a", 700, 0), ("b", 700, 0), ("large", 700, 0)],
        waiting: &[("a", 100), ("b", 100), ("large", 50_000)],
        now: 0,
        above: &[],
    },
    Case {
        name: "an account that starts late",
        grants: &[("a", 4_000, 0), ("b", 4_000, 0)],
        waiting: &[("a", 4_000), ("b", 4_000), ("late", 4_000)],
        now: 100,
        above: &["a", "b"],
    },
    Case {
        name: "an account that started late has its part after a half-life",
        grants: &[("a", 4_000, 0), ("late", 2_000, 4_000)],
        waiting: &[("a", 4_000), ("late", 4_000)],
        now: 4_000,
        above: &[],
    },
    Case {
        name: "usage of half a minute ago is forgotten",
        grants: &[("a", 50_000, 0), ("b", 1_000, 30_000)],
        waiting: &[("a", 5_000), ("b", 5_000)],
        now: 30_000,
        above: &["b"],
    },
    Case {
        name: "usage decays between grants",
        grants: &[("a", 8_000, 0), ("a", 1_000, 12_000), ("b", 2_100, 12_000)],
        waiting: &[("a", 5_000), ("b", 5_000)],
        now: 12_000,
        above: &["b"],
    },
    Case {
        name: "an account that waits without usage is not above",
        grants: &[("a", 1_000, 0)],
        waiting: &[("b", 90_000)],
        now: 0,
        above: &["a"],
    },
];

/// Names of the cases whose outcome is not the expected one.
fn failed_cases<D: Decision + Default>() -> Vec<&'static str> {
    let failed = CASES.iter().filter(|case| {
        let mut shares = D::default();
        for (account, tokens, at) in case.grants {
            shares.record_grant(account, *tokens, Millis(*at));
        }
        let waiting = case.waiting.iter().copied().collect();
        let above = shares.above_share(&waiting, Millis(case.now));
        !above.iter().eq(case.above)
    });
    failed.map(|case| case.name).collect()
}

/// Guards against an account that gets more than its max-min share at the expense of others, and against one
/// that is put back although it has no more than its share.
#[test]
fn accounts_above_their_max_min_share_are_found() {
    assert_eq!(failed_cases::<AccountShares>(), [""; 0]);
}

/// Guards against cases that two plausible but wrong decisions would pass as well.
#[test]
fn the_cases_fail_for_shares_by_demand_and_for_shares_without_decay() {
    let proportional = failed_cases::<ProportionalShares>();
    for name in [
        "ten times the demand of the others",
        "equal usage and unequal demand",
        "several large accounts and one that waits for its share",
    ] {
        assert!(proportional.contains(&name), "{name}: {proportional:?}");
    }
    let undecayed = failed_cases::<UndecayedShares>();
    for name in [
        "an account that started late has its part after a half-life",
        "usage of half a minute ago is forgotten",
        "usage decays between grants",
    ] {
        assert!(undecayed.contains(&name), "{name}: {undecayed:?}");
    }
}

/// Guards against memory that grows with the names of accounts, and against eviction of an account in use.
#[test]
fn at_most_4096_accounts_are_kept_and_the_least_recently_used_is_evicted() {
    let mut shares = AccountShares::default();
    shares.record_grant("unused", 100_000, Millis(0));
    for n in 0..5_000_u64 {
        let now = Millis(n / 100 + 1);
        shares.record_grant(&format!("a{n}"), 1_000, now);
        shares.record_grant("used", u64::from(n % 4 == 0), now);
        assert!(shares.accounts() <= 4_096, "after {n}");
        let waiting = BTreeMap::from([("new", 1_000_000_000)]);
        if n == 100 {
            let above = shares.above_share(&waiting, now);
            assert!(above.contains("unused"));
        }
        if n == 4_999 {
            let above = shares.above_share(&waiting, now);
            assert!(above.contains("used") && above.contains("a4999"));
            assert!(!above.contains("unused") && !above.contains("a0"));
        }
    }
    assert_eq!(shares.accounts(), 4_096);
}

/// Guards against accounts that are kept after their usage has decayed.
#[test]
fn accounts_without_usage_make_room_first() {
    let mut shares = AccountShares::default();
    for n in 0..4_096 {
        shares.record_grant(&format!("a{n}"), 1_000, Millis(0));
    }
    shares.record_grant("new", 1_000, Millis(60_000));
    assert_eq!(shares.accounts(), 1);
}
