//! Allowances of accounts over gateways and pools that come, go, and lose each other.

use std::collections::BTreeMap;
use std::ops::Range;

use pumicecleat_policy::{AllowanceDecision, AllowancePool, AllowanceTerms};
use pumicecleat_types::Millis;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ACCOUNT: &str = "school";

/// Window in which use is counted, ms.
const WINDOW_MS: u64 = 8_000;

/// Part of the limit by which it may be exceeded.
const OVERAGE: f64 = 0.1;

/// Units by which it may be exceeded in addition.
const SLACK: f64 = 17_000.0;

fn terms(number: u64, rate: f64, burst: f64) -> AllowanceTerms {
    let limit = rate * 8.0 + burst;
    AllowanceTerms {
        number,
        rate,
        burst,
        tolerance: limit * OVERAGE + SLACK,
    }
}

/// Most units that may be used in a window.
fn bound(terms: AllowanceTerms) -> f64 {
    terms.rate * 8.0 + terms.burst + terms.tolerance
}

struct Uneven {
    /// Gateways attached, of which only the first gets requests.
    gateways: u32,
    rate: f64,
    burst: f64,
    /// Units of each request.
    units: u64,
    interval_ms: u64,
    /// Requests granted in 20 s, of those sent.
    granted: std::ops::RangeInclusive<u32>,
}

const UNEVEN: [Uneven; 5] = [
    // Within the limit nothing is refused, however uneven the load is.
    Uneven {
        gateways: 1,
        rate: 4_000.0,
        burst: 4_000.0,
        units: 2_400,
        interval_ms: 800,
        granted: 24..=24,
    },
    Uneven {
        gateways: 21,
        rate: 4_000.0,
        burst: 4_000.0,
        units: 2_400,
        interval_ms: 800,
        granted: 24..=24,
    },
    Uneven {
        gateways: 340,
        rate: 4_000.0,
        burst: 4_000.0,
        units: 2_400,
        interval_ms: 800,
        granted: 24..=24,
    },
    // Beyond the limit the whole of it is granted.
    Uneven {
        gateways: 21,
        rate: 4_000.0,
        burst: 4_000.0,
        units: 2_400,
        interval_ms: 100,
        granted: 33..=39,
    },
    // A request that is larger than the burst is granted, and its units are taken off.
    Uneven {
        gateways: 21,
        rate: 1_000.0,
        burst: 0.0,
        units: 6_000,
        interval_ms: 500,
        granted: 3..=4,
    },
];

/// Guards against refusing requests within the limit, and against granting more.
#[test]
fn an_account_gets_its_limit_wherever_its_requests_arrive() {
    for (n, case) in UNEVEN.iter().enumerate() {
        let terms = terms(1, case.rate, case.burst);
        let mut pool = AllowancePool::default();
        let names: Vec<String> = (0..case.gateways).map(|g| format!("gateway-{g}")).collect();
        let mut granted = 0;
        for ms in (0..20_000).step_by(10) {
            let now = Millis(ms);
            if ms % 300 == 0 {
                for name in &names {
                    pool.attach(name, 0, now);
                }
            }
            if ms >= 1_000 && (ms - 1_000) % case.interval_ms == 0 {
                let decision = pool.request(ACCOUNT, terms, case.units, now);
                granted += u32::from(decision == AllowanceDecision::Granted);
            }
        }
        assert!(case.granted.contains(&granted), "case {n}: {granted}");
    }
}

/// Guards against a time to come back that is wrong: units are available then, and not before.
#[test]
fn a_refusal_tells_when_there_is_room() {
    let terms = terms(1, 1_000.0, 1_000.0);
    let mut pool = AllowancePool::default();
    pool.attach("a", 0, Millis(0));
    while pool.request(ACCOUNT, terms, 900, Millis(0)) == AllowanceDecision::Granted {}
    let AllowanceDecision::Refused(wait) = pool.request(ACCOUNT, terms, 900, Millis(0)) else {
        panic!("granted");
    };
    for ms in (0..wait.0).step_by(100) {
        pool.attach("a", 0, Millis(ms));
        let decision = pool.request(ACCOUNT, terms, 900, Millis(ms));
        assert_ne!(
            decision,
            AllowanceDecision::Granted,
            "after {ms} of {wait:?}"
        );
    }
    pool.attach("a", 0, wait);
    assert_eq!(
        pool.request(ACCOUNT, terms, 900, wait),
        AllowanceDecision::Granted
    );
}

/// Guards against a lower limit that is undone by a gateway with an older configuration.
#[test]
fn the_limit_of_the_newest_configuration_counts() {
    let (old, new) = (terms(1, 100_000.0, 100_000.0), terms(2, 10.0, 10.0));
    let mut pool = AllowancePool::default();
    let mut granted = 0;
    for ms in (0..5_000).step_by(10) {
        pool.attach("a", 0, Millis(ms));
        let asked = if ms < 1_000 || ms % 20 == 0 { old } else { new };
        let decision = pool.request(ACCOUNT, asked, 500, Millis(ms));
        if ms >= 1_100 && decision == AllowanceDecision::Granted {
            granted += 1;
        }
    }
    assert_eq!(granted, 0);
}

/// A fleet of gateways that use all units they get, and of pools.
struct Fleet {
    rng: ChaCha8Rng,
    pools: Vec<AllowancePool>,
    gateways: Vec<Gateway>,
    /// Pairs of gateways and pools that can't reach each other, until a time.
    cuts: BTreeMap<(usize, usize), u64>,
    /// Pools that don't run until a time.
    frozen: BTreeMap<usize, u64>,
    terms: AllowanceTerms,
    /// Times and units of grants.
    used: Vec<(u64, f64)>,
}

struct Gateway {
    name: String,
    /// Pool that was reached last.
    pool: usize,
    /// Gateways that it knows of, and when it was told.
    told: (u32, u64),
    own_share: Option<AllowancePool>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Each pool takes the gateways attached to it for all there are.
    ForgetsOthers,
    /// A gateway that reaches no pool uses the whole rate.
    AloneIsAll,
}

/// Number of gateways of the fleet.
const GATEWAYS: usize = 3;

/// Number of pools of the fleet.
const POOLS: usize = 3;

/// Time between two events, ms: one or two in a window.
const EVENT_GAPS_MS: Range<u64> = 5_000..12_000;

/// The same, with many in a window.
const SHORT_GAPS_MS: Range<u64> = 500..2_000;

impl Fleet {
    fn new(seed: u64) -> Self {
        let gateway = |n| Gateway {
            name: format!("gateway-{n}"),
            pool: 0,
            told: (0, 0),
            own_share: None,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: (0..POOLS).map(|_| AllowancePool::default()).collect(),
            gateways: (0..GATEWAYS).map(gateway).collect(),
            cuts: BTreeMap::new(),
            frozen: BTreeMap::new(),
            terms: terms(1, 20_000.0, 20_000.0),
            used: Vec::new(),
        }
    }

    /// Draws one event: a cut between some gateways and pools, a pool that starts again, stands still or a
    /// gateway that starts again.
    fn disturb(&mut self, now: u64) {
        let until = now + self.rng.random_range(200..6_000);
        match self.rng.random_range(0..4) {
            0 => {
                for gateway in 0..GATEWAYS {
                    for pool in 0..POOLS {
                        if self.rng.random_bool(0.5) {
                            self.cuts.insert((gateway, pool), until);
                        }
                    }
                }
            }
            1 => {
                let pool = self.rng.random_range(0..POOLS);
                self.pools[pool] = AllowancePool::default();
            }
            2 => {
                let pool = self.rng.random_range(0..POOLS);
                self.frozen.insert(pool, until);
            }
            _ => {
                let gateway = self.rng.random_range(0..GATEWAYS);
                self.gateways[gateway].own_share = None;
                self.gateways[gateway].told = (0, 0);
            }
        }
    }

    fn reaches(&self, gateway: usize, pool: usize, now: u64) -> bool {
        let is_over = |until: Option<&u64>| until.is_none_or(|until| now >= *until);
        is_over(self.cuts.get(&(gateway, pool))) && is_over(self.frozen.get(&pool))
    }

    /// One request of a gateway to the first pool that it reaches, or to its own share.
    fn request(&mut self, gateway: usize, units: u64, now: u64, mutant: Mutant) {
        let reached = (0..POOLS).find(|p| self.reaches(gateway, *p, now));
        let state = &mut self.gateways[gateway];
        let told = if mutant == Mutant::ForgetsOthers {
            0
        } else {
            state.told.0
        };
        let at = Millis(now);
        let decision = if let Some(pool) = reached {
            state.pool = pool;
            state.own_share = None;
            let pool = &mut self.pools[pool];
            pool.attach(&state.name, told, at);
            let count = pool.gateway_count(at);
            if count >= state.told.0 || now - state.told.1 > 60_000 {
                state.told = (count, now);
            }
            pool.request(ACCOUNT, self.terms, units, at)
        } else {
            let whole = mutant == Mutant::AloneIsAll;
            let count = if whole { 1 } else { told.max(8) };
            let own = state
                .own_share
                .get_or_insert_with(AllowancePool::without_credit);
            own.attach(&state.name, count, at);
            own.request(ACCOUNT, self.terms, units, at)
        };
        if decision == AllowanceDecision::Granted {
            self.used
                .push((now, f64::from(u32::try_from(units).unwrap())));
        }
    }

    /// Largest use in a window.
    fn peak(&self) -> f64 {
        let (mut peak, mut sum, mut first): (f64, f64, usize) = (0.0, 0.0, 0);
        for (at, units) in &self.used {
            sum += units;
            while self.used[first].0 + WINDOW_MS <= *at {
                sum -= self.used[first].1;
                first += 1;
            }
            peak = peak.max(sum);
        }
        peak
    }

    /// Plays a fleet whose gateways all ask for more than the account may use.
    fn play(seed: u64, gaps_ms: Range<u64>, mutant: Mutant) -> (f64, f64) {
        let mut fleet = Self::new(seed);
        let mut next_event = 3_000;
        for now in (0..60_000).step_by(20) {
            if now >= next_event {
                fleet.disturb(now);
                next_event = now + fleet.rng.random_range(gaps_ms.clone());
            }
            for gateway in 0..GATEWAYS {
                let units = 200 + fleet.rng.next_u64() % 3_000;
                fleet.request(gateway, units, now, mutant);
            }
        }
        (fleet.peak(), bound(fleet.terms))
    }
}

/// Guards against a sum over all gateways that exceeds the limit when the fleet is divided, processes stand still
/// or start again.
#[test]
fn no_sequence_of_cuts_and_starts_exceeds_the_limit() {
    for seed in 0..400 {
        let (peak, bound) = Fleet::play(seed, EVENT_GAPS_MS, Mutant::None);
        assert!(peak <= bound, "seed {seed}: {peak} of {bound}");
    }
}

/// The search finds what breaks the sum.
#[test]
fn mutants_that_count_wrongly_are_found() {
    for mutant in [Mutant::ForgetsOthers, Mutant::AloneIsAll] {
        let exceeds = |seed| {
            let (peak, bound) = Fleet::play(seed, EVENT_GAPS_MS, mutant);
            peak > bound
        };
        assert!((0..400).any(exceeds));
    }
}

/// Guards against a sum that holds only while disturbances are rare.
#[test]
fn disturbances_in_quick_succession_do_not_exceed_the_limit() {
    for seed in 0..400 {
        let (peak, bound) = Fleet::play(seed, SHORT_GAPS_MS, Mutant::None);
        assert!(peak <= bound, "seed {seed}: {peak} of {bound}");
    }
}
