//! The queue, the shares and the eviction against slow versions that are plainly right.

use std::collections::BTreeMap;

use proptest::prelude::*;
use pumicecleat_policy::{
    Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, ObjectiveWeights, Scheduler,
    SchedulerOptions,
};
use pumicecleat_types::{LoadTurn, Millis};

/// Work per claim by which a caller may run ahead, as in the scheduler.
const AHEAD: f64 = 512.0;

/// Half-life of demand in seconds, as in the scheduler.
const HALF_LIFE_S: f64 = 60.0;

const FAR: Millis = Millis(1 << 40);

fn scheduler(slots: u32, batch: u32) -> Scheduler {
    Scheduler::new_ext(SchedulerOptions {
        slots,
        max_batch: batch,
        max_queue: 100_000,
        weights: ObjectiveWeights {
            stall: 100,
            batch: 0,
        },
        ..SchedulerOptions::default()
    })
}

fn job(id: u64, caller: u32, claim: u32, tokens: u32, deadline: Millis) -> Job {
    Job {
        id: JobId(id),
        lora: None,
        caller: CallerIx(caller),
        claim,
        priority: 0,
        deadline,
        arrived: Millis(0),
        tokens,
    }
}

/// Queue of requests that were all there from the start: scans everything for each pick.
struct NaiveQueue {
    jobs: Vec<Job>,
    spent: BTreeMap<CallerIx, f64>,
}

impl NaiveQueue {
    fn new(jobs: Vec<Job>) -> Self {
        let spent = jobs.iter().map(|j| (j.caller, 0.0)).collect();
        Self { jobs, spent }
    }

    fn pick(&mut self) -> Option<JobId> {
        let standing = |j: &Job| self.spent[&j.caller];
        let least = self.jobs.iter().map(standing).reduce(f64::min)?;
        let near = self.jobs.iter().filter(|j| standing(j) <= least + AHEAD);
        let first = |j: &&Job| {
            let own = self.jobs.iter().filter(|o| o.caller == j.caller);
            let top = own.map(|o| o.priority).max();
            top == Some(j.priority)
        };
        let next = *near.filter(first).min_by_key(|j| (j.deadline, j.id))?;
        self.jobs.retain(|j| j.id != next.id);
        *self.spent.get_mut(&next.caller)? += f64::from(next.tokens) / f64::from(next.claim);
        Some(next.id)
    }
}

/// Sends everything, one request at a time, and gives the order.
fn order(side: &mut Scheduler) -> Vec<JobId> {
    let mut sent = Vec::new();
    loop {
        let actions = side.poll(Millis(0));
        let [Action::Send(id)] = actions[..] else {
            assert!(actions.is_empty(), "{actions:?}");
            return sent;
        };
        sent.push(id);
        side.finished(id, false, Millis(0));
    }
}

proptest! {
    #[test]
    fn queue_is_the_naive_one(
        rows in prop::collection::vec((0..5_u32, 1..300_u32, 1..40_u64, 0..3_u8), 1..80),
    ) {
        let mut side = scheduler(1, 1);
        let mut jobs = Vec::new();
        for (n, (caller, tokens, due, priority)) in rows.into_iter().enumerate() {
            let deadline = FAR + Millis(due);
            let mut job = job(n as u64, caller, caller + 1, tokens, deadline);
            job.priority = priority;
            side.submit(job, Millis(0)).expect("there is time");
            jobs.push(job);
        }
        let mut naive = NaiveQueue::new(jobs);
        let expected: Vec<JobId> = std::iter::from_fn(|| naive.pick()).collect();
        prop_assert_eq!(order(&mut side), expected);
    }

    #[test]
    fn evicts_as_the_naive_one(
        asks in prop::collection::vec((0..8_u32, 1..60_000_u64), 1..80),
        slots in 1..5_u32,
    ) {
        let mut side = scheduler(slots, 1);
        let mut past: Vec<(LoraIx, Millis)> = Vec::new();
        let mut held: BTreeMap<LoraIx, Millis> = BTreeMap::new();
        let mut now = Millis(0);
        for (n, (lora, gap)) in asks.into_iter().enumerate() {
            now = now + Millis(gap);
            let lora = LoraIx(lora);
            past.push((lora, now));
            let mut job = job(n as u64, 0, 1, 1, FAR);
            job.lora = Some(lora);
            let evicted = serve(&mut side, job, now);
            if held.contains_key(&lora) || held.len() < slots as usize {
                prop_assert_eq!(evicted, None);
            } else {
                let victim = naive_victim(&past, &held, now);
                prop_assert_eq!(evicted, Some(victim));
                held.remove(&victim);
            }
            held.insert(lora, now);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Callers with more waiting than their shares get shares by claim; one that wants less than
    /// its share gets all it wants, and the others share the rest.
    #[test]
    fn shares_are_max_min(
        claims in prop::collection::vec(1..6_u32, 2..6),
        tokens in prop::collection::vec(50..200_u32, 6),
        modest in 1..4_u32,
    ) {
        let mut side = scheduler(1, 1);
        let mut owner = BTreeMap::new();
        let mut id = 0;
        for (caller, claim) in (0_u32..).zip(&claims) {
            // The first caller wants little, the others more than there is.
            let count = if caller == 0 { modest * 20 } else { 6_000 };
            for _ in 0..count {
                id += 1;
                let job = job(id, caller, *claim, tokens[caller as usize], FAR);
                owner.insert(JobId(id), job);
                side.submit(job, Millis(0)).expect("there is time");
            }
        }
        let mut got = vec![0.0_f64; claims.len()];
        for _ in 0..5_000 {
            let actions = side.poll(Millis(0));
            let [Action::Send(id)] = actions[..] else {
                panic!("{actions:?}");
            };
            let job = owner[&id];
            got[job.caller.0 as usize] += f64::from(job.tokens);
            side.finished(id, false, Millis(0));
        }
        let wanted = f64::from(modest * 20 * tokens[0]);
        prop_assert!((got[0] - wanted).abs() < 0.5, "the modest one gets all");
        let rest: f64 = got[1..].iter().sum();
        let all: u32 = claims[1..].iter().sum();
        for (got, claim) in got[1..].iter().zip(&claims[1..]) {
            let due = rest * f64::from(*claim) / f64::from(all);
            let error = (got - due).abs() / due;
            prop_assert!(error < 0.02, "error {}, got {:?}", error, got);
        }
    }
}

/// Least in demand by the sum over all requests, then the least recently used.
fn naive_victim(past: &[(LoraIx, Millis)], held: &BTreeMap<LoraIx, Millis>, now: Millis) -> LoraIx {
    let demand = |lora: LoraIx| -> f64 {
        let own = past.iter().filter(|(l, _)| *l == lora);
        own.map(|(_, at)| (-now.since(*at).as_secs() / HALF_LIFE_S).exp2())
            .sum()
    };
    let least = held
        .iter()
        .min_by(|a, b| demand(*a.0).total_cmp(&demand(*b.0)).then(a.1.cmp(b.1)));
    *least.expect("slots are full").0
}

/// Runs one request alone, its load included; gives what was evicted for it.
fn serve(side: &mut Scheduler, job: Job, now: Millis) -> Option<LoraIx> {
    let mut evicted = None;
    side.submit(job, now).expect("there is time");
    loop {
        for action in side.poll(now) {
            match action {
                Action::Send(id) => {
                    side.finished(id, false, now);
                    side.poll(now);
                    return evicted;
                }
                Action::Bid(_) => side.bid_answered(LoadTurn::Go { ttl_ms: 1_000 }, now),
                Action::Load(lora) => side.loaded(lora, LoadOutcome::Done, now),
                Action::Unload(lora) => {
                    evicted = Some(lora);
                    side.unloaded(lora, true, now);
                }
                Action::ReleaseTurn => {}
                Action::Refuse(..) => panic!("refused"),
            }
        }
    }
}
