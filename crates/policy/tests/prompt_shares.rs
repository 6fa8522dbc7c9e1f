//! Shares of client accounts at engines that can't serve all requests in time: what callers get.

mod fleet;

use std::collections::BTreeMap;

use fleet::{EngineSpec, Fleet, Outcome, Workload, merge, simulate_requests};
use pumicecleat_policy::{
    BaseLoadTimes, EngineReport, TurnAction, TurnId, TurnOptions, TurnRequest, TurnScheduler,
};
use pumicecleat_types::{EngineTraits, Millis};

const SPEC: EngineSpec = EngineSpec {
    tokens_per_second: 20_000,
    adapter_slots: 4,
    store_load_ms: 250,
    cached_load_ms: 25,
    cache_size: 20,
    step_ms: 10,
    prefill_step_ms: 100,
};

const ENGINES: usize = 4;
const SEEDS: u64 = 3;
const OTHERS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const LARGE: &str = "large";

/// Requests of the large account for each one of another account.
const LARGE_FACTOR: f64 = 10.0;

/// Time in which requests arrive, and the part of it in which tokens are counted, ms: the engines' speed is
/// learned before, and after it the queues are worked off without new requests.
const DURATION_MS: u64 = 14_000;
const COUNTED_FROM_MS: u64 = 2_000;

/// Smallest part of what an account got without the large one, and largest relative distance from the max-min
/// share.
const KEPT: f64 = 0.9;
const DISTANCE: f64 = 0.1;

struct Case {
    name: &'static str,
    /// Requests per second of each account but the large one.
    rate: f64,
    /// When the agent of an engine starts anew, ms.
    restart: Option<u64>,
}

const CASES: [Case; 4] = [
    Case {
        name: "the others together need half of the engines",
        rate: 4.0,
        restart: None,
    },
    Case {
        name: "the others together need four fifths of the engines",
        rate: 6.0,
        restart: None,
    },
    Case {
        name: "the others alone need more than the engines have",
        rate: 10.0,
        restart: None,
    },
    Case {
        name: "an agent starts anew",
        rate: 4.0,
        restart: Some(7_000),
    },
];

const fn workload(requests_per_second: f64) -> Workload {
    Workload {
        requests_per_second,
        adapters: 4,
        zipf_exponent: 0.8,
        mean_prompt_tokens: 1_500.0,
        mean_events: 20.0,
        objective_ms: 1_000,
        duration_ms: DURATION_MS,
        priorities: &[1, 0, 2],
    }
}

/// What an account sent and got.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    requests: f64,
    in_time: f64,
    served: f64,
    /// Tokens of requests that arrived while tokens are counted.
    tokens_sent: f64,
    /// Tokens of requests whose first event came while tokens are counted.
    tokens_served: f64,
}

impl Account {
    fn add(&mut self, outcome: &Outcome) {
        let counted = COUNTED_FROM_MS..DURATION_MS;
        let tokens = f64::from(outcome.prompt_tokens);
        self.requests += 1.0;
        if counted.contains(&outcome.arrived_at) {
            self.tokens_sent += tokens;
        }
        if let Some(first_event) = outcome.first_event_ms {
            self.served += 1.0;
            if first_event <= workload(1.0).objective_ms {
                self.in_time += 1.0;
            }
            if counted.contains(&(outcome.arrived_at + first_event)) {
                self.tokens_served += tokens;
            }
        }
    }
}

type Accounts = BTreeMap<String, Account>;

/// Simulates a case for all seeds; `large` tells whether the large account sends requests.
fn run(case: &Case, large: bool, shares: bool) -> Accounts {
    let mut loads: Vec<(&str, Workload)> =
        OTHERS.iter().map(|a| (*a, workload(case.rate))).collect();
    if large {
        loads.push((LARGE, workload(case.rate * LARGE_FACTOR)));
    }
    let mut accounts = Accounts::new();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(&[SPEC; ENGINES]);
        if shares {
            fleet.share_by_account();
        }
        let requests = merge(&loads, seed);
        let after_step = |fleet: &mut Fleet, now| {
            if case.restart == Some(now) {
                fleet.restart_agent(0, shares);
            }
        };
        for outcome in simulate_requests(&mut fleet, &loads[0].1, requests, after_step) {
            let account = outcome.account.clone().unwrap_or_default();
            accounts.entry(account).or_default().add(&outcome);
        }
    }
    accounts
}

/// Max-min share of each account in the tokens served: raises all shares equally until the tokens are used up.
fn max_min(accounts: &Accounts) -> BTreeMap<&str, f64> {
    let mut left: f64 = accounts.values().map(|a| a.tokens_served).sum();
    let mut shares: BTreeMap<&str, f64> = BTreeMap::new();
    let part = left / 10_000.0;
    while left > 0.0 {
        let before = left;
        for (name, account) in accounts {
            let share = shares.entry(name).or_default();
            let more = part.min(account.tokens_sent - *share).min(left);
            *share += more;
            left -= more;
        }
        if left >= before {
            break;
        }
    }
    shares
}

/// What a run doesn't fulfil, given what the accounts got without the large one.
fn violations(accounts: &Accounts, alone: &Accounts) -> Vec<String> {
    let fair = max_min(accounts);
    let mut violations = Vec::new();
    for (name, account) in accounts {
        let in_time = account.in_time / account.requests;
        let of_fair = account.tokens_served / fair[name.as_str()];
        println!(
            "  {name}: in time {in_time:.3}, served {:.3}, of its max-min share {of_fair:.3}",
            account.served / account.requests
        );
        if (of_fair - 1.0).abs() > DISTANCE {
            violations.push(format!("{name} got {of_fair:.3} of its max-min share"));
        }
        if let Some(alone) = alone.get(name) {
            let kept = in_time / (alone.in_time / alone.requests);
            let has_share = fair[name.as_str()] < account.tokens_sent && of_fair >= KEPT;
            if kept < KEPT && !has_share {
                violations.push(format!("{name} kept {kept:.3}"));
            }
        }
    }
    violations
}

fn check(case: &Case) {
    let name = case.name;
    let alone = run(case, false, false);
    println!("{name}, without the option");
    let before = violations(&run(case, true, false), &alone);
    println!("{name}, with the option");
    let after = violations(&run(case, true, true), &alone);
    println!("{name}: {after:?}");
    assert!(!before.is_empty(), "{name}: the load asks for nothing");
    assert!(after.is_empty(), "{name}: {after:?}");
}

/// Times to the first event and times of refusals of all requests.
fn course(accounts: bool, shares: bool) -> Vec<(Option<u64>, Vec<u64>)> {
    let mut fleet = Fleet::new(&[SPEC; 2]);
    if shares {
        fleet.share_by_account();
    }
    let load = Workload {
        duration_ms: 6_000,
        ..workload(2.0)
    };
    let large = Workload {
        requests_per_second: 30.0,
        ..load
    };
    let mut requests = merge(&[("a", load), ("b", load), (LARGE, large)], 0);
    for request in &mut requests {
        request.account.take_if(|_| !accounts);
    }
    let outcomes = simulate_requests(&mut fleet, &load, requests, |_, _| {});
    let refusals = |o: &Outcome| o.refusals.iter().map(|r| r.0).collect();
    let course = outcomes.iter().map(|o| (o.first_event_ms, refusals(o)));
    course.collect()
}

/// Guards against another order where accounts don't share engines, or requests name none.
#[test]
fn without_the_option_or_without_accounts_the_order_is_unchanged() {
    let unchanged = course(false, false);
    assert_eq!(course(true, false), unchanged);
    assert_eq!(course(false, true), unchanged);
    assert_ne!(course(true, true), unchanged);
}

/// A waiting request: account, objective left in ms.
type Waiting = (Option<&'static str>, u64);

struct OrderCase {
    name: &'static str,
    /// Granted before, with 4,000 tokens each.
    granted: &'static [&'static str],
    waiting: &'static [Waiting],
    /// Positions in `waiting` in the order of the grants.
    order: &'static [usize],
}

const ORDER_CASES: [OrderCase; 6] = [
    OrderCase {
        name: "all can be in time",
        granted: &["x"],
        waiting: &[(Some("x"), 5_000), (Some("a"), 6_000)],
        order: &[0, 1],
    },
    OrderCase {
        name: "not all can be in time",
        granted: &["x"],
        waiting: &[(Some("x"), 700), (Some("a"), 800)],
        order: &[1, 0],
    },
    OrderCase {
        name: "a late request goes before one of an account above its share",
        granted: &["x"],
        waiting: &[(Some("x"), 700), (Some("a"), 10)],
        order: &[1, 0],
    },
    OrderCase {
        name: "a request without an account is not put back",
        granted: &["x"],
        waiting: &[(Some("x"), 700), (None, 800)],
        order: &[0, 1],
    },
    OrderCase {
        name: "a request without an account goes before one that is put back",
        granted: &["x"],
        waiting: &[(Some("x"), 700), (None, 800), (Some("a"), 900)],
        order: &[1, 2, 0],
    },
    OrderCase {
        name: "deadlines decide within an account and among equal ones",
        granted: &["x"],
        waiting: &[
            (Some("x"), 5_800),
            (Some("x"), 5_700),
            (Some("a"), 900),
            (Some("b"), 850),
        ],
        order: &[3, 2, 1, 0],
    },
];

/// Scheduler of an engine that prefills 10,000 tokens per second, without adapters.
fn scheduler() -> TurnScheduler {
    let mut scheduler = TurnScheduler::new_ext(TurnOptions {
        adapter_slots: 2,
        max_batch: 8,
        base_load_times: BaseLoadTimes::default(),
        account_shares: true,
        ..TurnOptions::default()
    });
    scheduler.set_peer_traits(&EngineTraits {
        tokens_per_s: 10_000,
        ..EngineTraits::default()
    });
    let report = EngineReport {
        base_loaded: true,
        ..EngineReport::default()
    };
    scheduler.apply_report(&report, Millis(0));
    scheduler
}

fn request(id: &str, account: Option<&str>, objective_left: u64) -> TurnRequest {
    TurnRequest {
        request_id: id.to_owned(),
        prompt_tokens: 4_000,
        objective: Millis(5_000),
        objective_left: Millis(objective_left),
        patience: Millis(20_000),
        account: account.map(ToOwned::to_owned),
        ..TurnRequest::default()
    }
}

/// Positions of the waiting requests in the order of their grants.
fn grant_order(case: &OrderCase) -> Vec<usize> {
    let mut scheduler = scheduler();
    // Time for the prefill of what was granted before.
    let step = 500;
    for (n, account) in case.granted.iter().enumerate() {
        let now = Millis(n as u64 * step);
        scheduler.enqueue(request("before", Some(account), 5_000), now);
        assert_eq!(scheduler.poll(now).len(), 1, "{}", case.name);
        scheduler.request_ended("before");
    }
    let start = case.granted.len() as u64 * step;
    let turns: Vec<TurnId> = case
        .waiting
        .iter()
        .enumerate()
        .map(|(n, (account, left))| {
            scheduler.enqueue(request(&format!("r{n}"), *account, *left), Millis(start))
        })
        .collect();
    let mut order = Vec::new();
    for now in (start..start + 3_000).step_by(10) {
        for action in scheduler.poll(Millis(now)) {
            let TurnAction::Grant { turn, .. } = action else {
                panic!("{}: {action:?}", case.name);
            };
            let position = turns.iter().position(|t| *t == turn).unwrap();
            scheduler.request_ended(&format!("r{position}"));
            order.push(position);
        }
    }
    order
}

/// Guards against requests that are put back although all can be in time, or that are not although others of smaller
/// accounts would be late, and against an order that ignores deadlines.
#[test]
fn accounts_above_their_share_come_last_where_not_all_can_be_in_time() {
    for case in &ORDER_CASES {
        assert_eq!(grant_order(case), case.order, "{}", case.name);
    }
}

/// Guards against an account whose ten times larger demand takes the engines from the others, and against one
/// that is put back further than to what the others leave.
#[test]
fn a_large_account_gets_what_the_others_leave() {
    check(&CASES[0]);
}

/// Guards against late requests of small accounts that wait behind a large account's endless fresh ones.
#[test]
fn accounts_near_the_capacity_keep_their_requests() {
    check(&CASES[1]);
}

/// Guards against shares in proportion to the demand.
#[test]
fn accounts_that_need_more_than_there_is_get_equal_parts() {
    check(&CASES[2]);
}

/// Guards against shares that depend on what an agent that is gone knew.
#[test]
fn an_agent_that_starts_anew_shares_its_engine_fairly() {
    check(&CASES[3]);
}
