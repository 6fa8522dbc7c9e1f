//! Choice of the adapter to evict: never one in use, and another if the engine refuses the first
//! unload.

use pumicecleat_policy::{
    Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, ObjectiveWeights, Scheduler,
    SchedulerOptions,
};
use pumicecleat_types::{LoadTurn, Millis};

const START_TIME: Millis = Millis(1_000);
const TURN_TTL_MS: u64 = 60_000;

/// Adapters resident at the start; they occupy both slots.
const RESIDENT: [LoraIx; 2] = [LoraIx(1), LoraIx(2)];
const ABSENT: LoraIx = LoraIx(3);

/// Longest time to wait for an unload that needs no further event.
const MAX_WAIT: Millis = Millis(2_000);

/// Drives a scheduler whose bids are all granted.
struct Harness {
    scheduler: Scheduler,
    now: Millis,
    last_id: u64,
}

impl Harness {
    /// Starts with both slots occupied; the adapters in `unaccounted` also serve requests of an
    /// earlier side.
    fn new(unaccounted: &[LoraIx]) -> Self {
        let weights = ObjectiveWeights {
            stall: 100,
            batch: 0,
        };
        let options = SchedulerOptions {
            slots: 2,
            weights,
            ..SchedulerOptions::default()
        };
        let mut scheduler = Scheduler::new_ext(options);
        scheduler.reset(&RESIDENT, unaccounted, START_TIME);
        Self {
            scheduler,
            now: START_TIME,
            last_id: 0,
        }
    }

    fn submit(&mut self, lora: LoraIx) -> JobId {
        self.last_id += 1;
        let id = JobId(self.last_id);
        let job = Job {
            id,
            lora: Some(lora),
            caller: CallerIx(0),
            claim: 1,
            priority: 0,
            deadline: self.now + Millis(30_000),
            arrived: self.now,
            tokens: 10,
        };
        self.scheduler.submit(job, self.now).unwrap();
        id
    }

    /// Adapter of the first unload ordered within `MAX_WAIT`, polling at the scheduler's wakes.
    fn next_unload(&mut self) -> Option<LoraIx> {
        let end = self.now + MAX_WAIT;
        while self.now <= end {
            for action in self.scheduler.poll(self.now) {
                match action {
                    Action::Unload(lora) => return Some(lora),
                    Action::Bid(_) => {
                        let turn = LoadTurn::Granted {
                            ttl_ms: TURN_TTL_MS,
                        };
                        self.scheduler.bid_answered(turn, self.now);
                    }
                    _ => {}
                }
            }
            let wake = self.scheduler.next_wake(self.now);
            let soonest = self.now + Millis(1);
            self.now = wake.map_or(soonest, |at| at.max(soonest).min(self.now + Millis(50)));
        }
        None
    }

    /// Submits a request and checks that it is sent at once.
    fn send(&mut self, lora: LoraIx) -> JobId {
        let id = self.submit(lora);
        let sent = self.scheduler.poll(self.now).contains(&Action::Send(id));
        assert!(sent, "request for {lora:?} was not sent");
        id
    }
}

struct Case {
    name: &'static str,
    unaccounted: &'static [LoraIx],
    /// Adapters with a request still running when the absent adapter is requested.
    running: &'static [LoraIx],
    /// Adapters of requests that have ended before, so that the other adapters are in lower demand.
    ended: &'static [LoraIx],
    victim: Option<LoraIx>,
}

const CASES: [Case; 6] = [
    Case {
        name: "the first is in use and in lower demand",
        unaccounted: &[],
        running: &[RESIDENT[0]],
        ended: &[RESIDENT[1], RESIDENT[1], RESIDENT[1]],
        victim: Some(RESIDENT[1]),
    },
    Case {
        name: "the second is in use and in lower demand",
        unaccounted: &[],
        running: &[RESIDENT[1]],
        ended: &[RESIDENT[0], RESIDENT[0], RESIDENT[0]],
        victim: Some(RESIDENT[0]),
    },
    Case {
        name: "the first is in use by an earlier side",
        unaccounted: &[RESIDENT[0]],
        running: &[],
        ended: &[RESIDENT[1], RESIDENT[1]],
        victim: Some(RESIDENT[1]),
    },
    Case {
        name: "both are in use",
        unaccounted: &[],
        running: &RESIDENT,
        ended: &[],
        victim: None,
    },
    Case {
        name: "both are in use, the second by an earlier side",
        unaccounted: &[RESIDENT[1]],
        running: &[RESIDENT[0]],
        ended: &[],
        victim: None,
    },
    Case {
        name: "none is in use",
        unaccounted: &[],
        running: &[],
        ended: &[RESIDENT[0]],
        victim: Some(RESIDENT[1]),
    },
];

#[test]
fn an_adapter_in_use_is_never_a_victim() {
    for case in CASES {
        let mut harness = Harness::new(case.unaccounted);
        for lora in case.ended {
            let id = harness.send(*lora);
            harness.scheduler.finished(id, true, harness.now);
        }
        for lora in case.running {
            harness.send(*lora);
        }
        harness.submit(ABSENT);
        assert_eq!(harness.next_unload(), case.victim, "{}", case.name);
    }
}

#[test]
fn an_adapter_can_be_evicted_once_its_request_ends() {
    let mut harness = Harness::new(&[RESIDENT[1]]);
    let id = harness.send(RESIDENT[0]);
    harness.submit(ABSENT);
    assert_eq!(harness.next_unload(), None);
    harness.scheduler.finished(id, true, harness.now);
    assert_eq!(harness.next_unload(), Some(RESIDENT[0]));
}

/// The engine may run requests that the side doesn't know of, and then refuses the unload.
#[test]
fn another_comes_first_if_the_engine_keeps_one() {
    let mut harness = Harness::new(&[]);
    let id = harness.send(RESIDENT[1]);
    harness.scheduler.finished(id, true, harness.now);
    harness.submit(ABSENT);
    assert_eq!(harness.next_unload(), Some(RESIDENT[0]));
    harness.scheduler.unloaded(RESIDENT[0], false, harness.now);
    assert_eq!(harness.next_unload(), Some(RESIDENT[1]));
    harness.scheduler.unloaded(RESIDENT[1], true, harness.now);
    let load = Action::Load(ABSENT);
    assert!(harness.scheduler.poll(harness.now).contains(&load));
    harness
        .scheduler
        .loaded(ABSENT, LoadOutcome::Done, harness.now);
}

/// An unload that the engine refuses is retried, but only after a delay.
#[test]
fn a_refused_unload_is_retried_after_a_delay() {
    let mut harness = Harness::new(&[RESIDENT[1]]);
    harness.submit(ABSENT);
    let mut ordered_at = Vec::new();
    for _ in 0..3 {
        assert_eq!(harness.next_unload(), Some(RESIDENT[0]));
        ordered_at.push(harness.now);
        harness.scheduler.unloaded(RESIDENT[0], false, harness.now);
    }
    let delayed = |w: &[Millis]| w[1].since(w[0]) >= Millis(250);
    assert!(ordered_at.windows(2).all(delayed), "{ordered_at:?}");
}
