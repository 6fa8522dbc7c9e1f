//! Times told to callers over an allowance, spaced by what was refused before them.

use std::collections::BTreeMap;

use pumicecleat_policy::{AllowanceDecision, AllowancePool, AllowanceTerms};
use pumicecleat_types::Millis;

/// Units of each request.
const UNITS: u64 = 100;

/// Units per second of the account.
const RATE: f64 = 1_000.0;

const TERMS: AllowanceTerms = AllowanceTerms {
    number: 1,
    rate: RATE,
    burst: 200.0,
    tolerance: 0.0,
};

fn pool(spaced: bool) -> AllowancePool {
    if spaced {
        AllowancePool::with_return_times()
    } else {
        AllowancePool::default()
    }
}

fn ask(pool: &mut AllowancePool, account: &str, now: u64) -> Option<u64> {
    pool.attach("gateway", 0, Millis(now));
    match pool.request(account, TERMS, UNITS, Millis(now)) {
        AllowanceDecision::Granted => None,
        AllowanceDecision::Refused(wait) => Some(wait.0),
    }
}

struct Told {
    guards: &'static str,
    spaced: bool,
    /// Times and accounts of the requests, with the times told; `None` if granted.
    asks: &'static [(u64, &'static str, Option<u64>)],
}

const TOLD: &[Told] = &[
    Told {
        guards: "times that change while spacing is off",
        spaced: false,
        asks: &[
            (0, "a", Some(100)),
            (0, "a", Some(100)),
            (0, "a", Some(100)),
        ],
    },
    Told {
        guards: "all told the same time",
        spaced: true,
        asks: &[
            (0, "a", Some(100)),
            (0, "a", Some(200)),
            (0, "a", Some(300)),
        ],
    },
    Told {
        guards: "one account that waits for another",
        spaced: true,
        asks: &[(0, "a", Some(100)), (0, "b", Some(100))],
    },
    Told {
        guards: "a first refusal that is told another time than without spacing",
        spaced: true,
        asks: &[(0, "a", Some(100)), (100, "a", None), (101, "a", Some(99))],
    },
    Told {
        guards: "units of those that returned or never come are counted on",
        spaced: true,
        asks: &[
            (0, "a", Some(100)),
            (0, "a", Some(200)),
            (100, "a", None),
            (100, "a", Some(200)),
            (1_301, "a", None),
            (1_301, "a", None),
            (1_301, "a", Some(100)),
        ],
    },
];

/// Guards against times at which the units are used by those refused before.
#[test]
fn refusals_are_spaced_by_the_units_before_them() {
    for case in TOLD {
        let mut pool = pool(case.spaced);
        for (n, (at, account, told)) in case.asks.iter().enumerate() {
            // Keeps the pool accruing, which it does only while a gateway is attached.
            let last = if n == 0 { 0 } else { case.asks[n - 1].0 };
            for ms in (last..*at).step_by(100) {
                pool.attach("gateway", 0, Millis(ms));
            }
            let answer = ask(&mut pool, account, *at);
            assert_eq!(answer, *told, "{}: ask {n}", case.guards);
        }
    }
}

/// Guards against unbounded times and memory.
#[test]
fn a_flood_is_told_three_seconds_at_most() {
    let mut pool = pool(true);
    let told: Vec<u64> = (0..5_000).filter_map(|_| ask(&mut pool, "a", 0)).collect();
    assert_eq!(told.iter().max(), Some(&3_000));
    for ms in (0..4_100).step_by(100) {
        pool.attach("gateway", 0, Millis(ms));
    }
    let after: Vec<Option<u64>> = (0..3).map(|_| ask(&mut pool, "a", 4_100)).collect();
    assert_eq!(after, [None, None, Some(100)], "nothing is left of it");
}

/// Guards against grants that depend on the spacing: the same requests get the same grants.
#[test]
fn balances_do_not_depend_on_the_times_told() {
    let grants = |spaced: bool| {
        let mut pool = pool(spaced);
        let asks = (0..20_000u64).step_by(7).enumerate();
        let account = |n: usize| if n.is_multiple_of(3) { "a" } else { "b" };
        let asks = asks.map(|(n, at)| ask(&mut pool, account(n), at).is_none());
        asks.collect::<Vec<bool>>()
    };
    let granted = grants(true);
    assert!(granted.contains(&true) && granted.contains(&false));
    assert_eq!(granted, grants(false));
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a time of a few seconds"
)]
fn to_ms(ms: f64) -> u64 {
    ms as u64
}

/// Refusals for each request, and part of the times told below the maximum at which units were available, of
/// callers that keep these times.
fn keep_times(demand: f64, spaced: bool) -> (f64, f64) {
    let interval = 1_000.0 / (RATE / 100.0 * demand);
    let mut arrivals: BTreeMap<u64, Vec<bool>> = BTreeMap::new();
    let mut requests = 0.0;
    while requests * interval < 8_000.0 {
        let at = to_ms(requests * interval);
        arrivals.entry(at).or_default().push(false);
        requests += 1.0;
    }
    let mut pool = pool(spaced);
    let (mut refusals, mut kept, mut granted) = (0.0, 0.0, 0.0);
    while let Some((now, asks)) = arrivals.pop_first() {
        for was_told in asks {
            let told = ask(&mut pool, "a", now);
            kept += f64::from(u8::from(was_told));
            granted += f64::from(u8::from(was_told && told.is_none()));
            if let Some(wait) = told {
                refusals += 1.0;
                let back = arrivals.entry(now + wait).or_default();
                back.push(wait < 3_000);
            }
        }
    }
    (refusals / requests, granted / kept)
}

struct Load {
    demand: f64,
}

const LOADS: [Load; 2] = [Load { demand: 1.5 }, Load { demand: 3.0 }];

/// Guards against callers that are refused again at the time told: all demand of 8 s beyond the allowance.
#[test]
fn callers_that_keep_the_times_told_are_refused_less() {
    for Load { demand } in LOADS {
        let (off, on) = (keep_times(demand, false), keep_times(demand, true));
        println!("{demand}: refusals and true times without {off:?}, with {on:?}");
        assert!(on.0 < off.0 && on.1 > off.1, "{demand}: {off:?} {on:?}");
    }
}
