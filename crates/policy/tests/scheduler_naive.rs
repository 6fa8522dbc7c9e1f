//! Queue order, shares and eviction, checked against naive implementations.

use std::collections::BTreeMap;

use proptest::prelude::*;
use pumicecleat_policy::{
    Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, ObjectiveWeights, Scheduler,
    SchedulerOptions,
};
use pumicecleat_types::{LoadTurn, Millis};

/// Work per claim by which a caller may run ahead, as in the scheduler.
const MAX_LEAD: f64 = 512.0;

/// Half-life of demand in seconds, as in the scheduler.
const HALF_LIFE_S: f64 = 60.0;

const FAR_DEADLINE: Millis = Millis(1 << 40);

fn new_scheduler(slots: u32, batch: u32) -> Scheduler {
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

/// Queue of requests that all arrived at the start; scans all of them for each pick.
struct NaiveQueue {
    jobs: Vec<Job>,
    work_per_claim: BTreeMap<CallerIx, f64>,
}

impl NaiveQueue {
    fn new(jobs: Vec<Job>) -> Self {
        let work_per_claim = jobs.iter().map(|j| (j.caller, 0.0)).collect();
        Self {
            jobs,
            work_per_claim,
        }
    }

    fn pick(&mut self) -> Option<JobId> {
        let work_per_claim = |j: &Job| self.work_per_claim[&j.caller];
        let least = self.jobs.iter().map(work_per_claim).reduce(f64::min)?;
        let within_lead = self
            .jobs
            .iter()
            .filter(|j| work_per_claim(j) <= least + MAX_LEAD);
        let top_priority = |j: &&Job| {
            let own = self.jobs.iter().filter(|o| o.caller == j.caller);
            let top = own.map(|o| o.priority).max();
            top == Some(j.priority)
        };
        let next = *within_lead
            .filter(top_priority)
            .min_by_key(|j| (j.deadline, j.id))?;
        self.jobs.retain(|j| j.id != next.id);
        *self.work_per_claim.get_mut(&next.caller)? +=
            f64::from(next.tokens) / f64::from(next.claim);
        Some(next.id)
    }
}

/// Runs all requests, one at a time, and returns the order in which they were sent.
fn send_order(scheduler: &mut Scheduler) -> Vec<JobId> {
    let mut sent = Vec::new();
    loop {
        let actions = scheduler.poll(Millis(0));
        let [Action::Send(id)] = actions[..] else {
            assert!(actions.is_empty(), "{actions:?}");
            return sent;
        };
        sent.push(id);
        scheduler.finished(id, false, Millis(0));
    }
}

proptest! {
    #[test]
    fn queue_order_matches_naive_queue(
        rows in prop::collection::vec((0..5_u32, 1..300_u32, 1..40_u64, 0..3_u8), 1..80),
    ) {
        let mut scheduler = new_scheduler(1, 1);
        let mut jobs = Vec::new();
        for (n, (caller, tokens, offset, priority)) in rows.into_iter().enumerate() {
            let deadline = FAR_DEADLINE + Millis(offset);
            let mut job = job(n as u64, caller, caller + 1, tokens, deadline);
            job.priority = priority;
            scheduler.submit(job, Millis(0)).expect("deadline is far off");
            jobs.push(job);
        }
        let mut naive = NaiveQueue::new(jobs);
        let expected: Vec<JobId> = std::iter::from_fn(|| naive.pick()).collect();
        prop_assert_eq!(send_order(&mut scheduler), expected);
    }

    #[test]
    fn evictions_match_naive_choice(
        requests in prop::collection::vec((0..8_u32, 1..60_000_u64), 1..80),
        slots in 1..5_u32,
    ) {
        let mut scheduler = new_scheduler(slots, 1);
        let mut history: Vec<(LoraIx, Millis)> = Vec::new();
        let mut last_used: BTreeMap<LoraIx, Millis> = BTreeMap::new();
        let mut now = Millis(0);
        for (n, (lora, gap)) in requests.into_iter().enumerate() {
            now = now + Millis(gap);
            let lora = LoraIx(lora);
            history.push((lora, now));
            let mut job = job(n as u64, 0, 1, 1, FAR_DEADLINE);
            job.lora = Some(lora);
            let evicted = serve(&mut scheduler, job, now);
            if last_used.contains_key(&lora) || last_used.len() < slots as usize {
                prop_assert_eq!(evicted, None);
            } else {
                let victim = naive_victim(&history, &last_used, now);
                prop_assert_eq!(evicted, Some(victim));
                last_used.remove(&victim);
            }
            last_used.insert(lora, now);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// A caller that wants less than its share gets all that it wants; the others, with more
    /// waiting than their shares, divide the rest by claim.
    #[test]
    fn shares_are_weighted_max_min(
        claims in prop::collection::vec(1..6_u32, 2..6),
        tokens in prop::collection::vec(50..200_u32, 6),
        small_demand in 1..4_u32,
    ) {
        let mut scheduler = new_scheduler(1, 1);
        let mut jobs = BTreeMap::new();
        let mut id = 0;
        for (caller, claim) in (0_u32..).zip(&claims) {
            // The first caller wants less than its share, the others more than is available.
            let count = if caller == 0 { small_demand * 20 } else { 6_000 };
            for _ in 0..count {
                id += 1;
                let job = job(id, caller, *claim, tokens[caller as usize], FAR_DEADLINE);
                jobs.insert(JobId(id), job);
                scheduler.submit(job, Millis(0)).expect("deadline is far off");
            }
        }
        let mut work = vec![0.0_f64; claims.len()];
        for _ in 0..5_000 {
            let actions = scheduler.poll(Millis(0));
            let [Action::Send(id)] = actions[..] else {
                panic!("{actions:?}");
            };
            let job = jobs[&id];
            work[job.caller.0 as usize] += f64::from(job.tokens);
            scheduler.finished(id, false, Millis(0));
        }
        let wanted = f64::from(small_demand * 20 * tokens[0]);
        prop_assert!((work[0] - wanted).abs() < 0.5, "the first caller gets all that it wants");
        let rest: f64 = work[1..].iter().sum();
        let claim_sum: u32 = claims[1..].iter().sum();
        for (work, claim) in work[1..].iter().zip(&claims[1..]) {
            let expected = rest * f64::from(*claim) / f64::from(claim_sum);
            let error = (work - expected).abs() / expected;
            prop_assert!(error < 0.02, "error {}, work {:?}", error, work);
        }
    }
}

/// Adapter with the lowest demand, summed over all requests, then the least recently used.
fn naive_victim(
    history: &[(LoraIx, Millis)],
    last_used: &BTreeMap<LoraIx, Millis>,
    now: Millis,
) -> LoraIx {
    let demand = |lora: LoraIx| -> f64 {
        let own = history.iter().filter(|(l, _)| *l == lora);
        own.map(|(_, at)| (-now.since(*at).as_secs() / HALF_LIFE_S).exp2())
            .sum()
    };
    let least = last_used
        .iter()
        .min_by(|a, b| demand(*a.0).total_cmp(&demand(*b.0)).then(a.1.cmp(b.1)));
    *least.expect("all slots are occupied").0
}

/// Runs a single request, with a load if needed; returns the adapter evicted for it.
fn serve(scheduler: &mut Scheduler, job: Job, now: Millis) -> Option<LoraIx> {
    let mut evicted = None;
    scheduler.submit(job, now).expect("deadline is far off");
    loop {
        for action in scheduler.poll(now) {
            match action {
                Action::Send(id) => {
                    scheduler.finished(id, false, now);
                    scheduler.poll(now);
                    return evicted;
                }
                Action::Bid(_) => scheduler.bid_answered(LoadTurn::Granted { ttl_ms: 1_000 }, now),
                Action::Load(lora) => scheduler.loaded(lora, LoadOutcome::Done, now),
                Action::Unload(lora) => {
                    evicted = Some(lora);
                    scheduler.unloaded(lora, true, now);
                }
                Action::ReleaseTurn => {}
                Action::Refuse(..) => panic!("request was refused"),
            }
        }
    }
}
