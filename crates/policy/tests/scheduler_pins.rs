//! What the scheduler evicts: never an adapter in use, and another one if the engine keeps the
//! first.

use pumicecleat_policy::{
    Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, ObjectiveWeights, Scheduler,
    SchedulerOptions,
};
use pumicecleat_types::{LoadTurn, Millis};

const START: Millis = Millis(1_000);
const TTL: u64 = 60_000;

/// Adapters resident at the start, one a slot.
const HELD: [LoraIx; 2] = [LoraIx(1), LoraIx(2)];
const ABSENT: LoraIx = LoraIx(3);

/// Longest time for a decision that only waits for the scheduler's own clock.
const LONGEST: Millis = Millis(2_000);

/// A side's scheduler, whose bids are all granted.
struct Desk {
    scheduler: Scheduler,
    now: Millis,
    jobs: u64,
}

impl Desk {
    /// Both slots held, by `unaccounted` for requests of an earlier side.
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
        scheduler.reset(&HELD, unaccounted, START);
        Self {
            scheduler,
            now: START,
            jobs: 0,
        }
    }

    fn ask(&mut self, lora: LoraIx) -> JobId {
        self.jobs += 1;
        let id = JobId(self.jobs);
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

    /// First unload ordered within `LONGEST`, by the scheduler's own wakes.
    fn unload(&mut self) -> Option<LoraIx> {
        let end = self.now + LONGEST;
        while self.now <= end {
            for action in self.scheduler.poll(self.now) {
                match action {
                    Action::Unload(lora) => return Some(lora),
                    Action::Bid(_) => {
                        let turn = LoadTurn::Go { ttl_ms: TTL };
                        self.scheduler.bid_answered(turn, self.now);
                    }
                    _ => {}
                }
            }
            let wake = self.scheduler.next_wake(self.now);
            let soon = self.now + Millis(1);
            self.now = wake.map_or(soon, |at| at.max(soon).min(self.now + Millis(50)));
        }
        None
    }

    fn run(&mut self, lora: LoraIx) -> JobId {
        let id = self.ask(lora);
        let sent = self.scheduler.poll(self.now).contains(&Action::Send(id));
        assert!(sent, "{lora:?}");
        id
    }
}

struct Case {
    name: &'static str,
    unaccounted: &'static [LoraIx],
    /// Sent, and not ended when the absent one is asked for.
    running: &'static [LoraIx],
    /// Sent and ended before, so that the others are less in demand.
    ended: &'static [LoraIx],
    unloads: Option<LoraIx>,
}

const CASES: [Case; 6] = [
    Case {
        name: "one in use, less in demand",
        unaccounted: &[],
        running: &[HELD[0]],
        ended: &[HELD[1], HELD[1], HELD[1]],
        unloads: Some(HELD[1]),
    },
    Case {
        name: "the other one",
        unaccounted: &[],
        running: &[HELD[1]],
        ended: &[HELD[0], HELD[0], HELD[0]],
        unloads: Some(HELD[0]),
    },
    Case {
        name: "one in use by an earlier side",
        unaccounted: &[HELD[0]],
        running: &[],
        ended: &[HELD[1], HELD[1]],
        unloads: Some(HELD[1]),
    },
    Case {
        name: "both in use",
        unaccounted: &[],
        running: &HELD,
        ended: &[],
        unloads: None,
    },
    Case {
        name: "both in use, one by an earlier side",
        unaccounted: &[HELD[1]],
        running: &[HELD[0]],
        ended: &[],
        unloads: None,
    },
    Case {
        name: "none in use",
        unaccounted: &[],
        running: &[],
        ended: &[HELD[0]],
        unloads: Some(HELD[1]),
    },
];

#[test]
fn an_adapter_in_use_is_never_a_victim() {
    for case in CASES {
        let mut desk = Desk::new(case.unaccounted);
        for lora in case.ended {
            let id = desk.run(*lora);
            desk.scheduler.finished(id, true, desk.now);
        }
        for lora in case.running {
            desk.run(*lora);
        }
        desk.ask(ABSENT);
        assert_eq!(desk.unload(), case.unloads, "{}", case.name);
    }
}

#[test]
fn what_ends_may_be_evicted_then() {
    let mut desk = Desk::new(&[HELD[1]]);
    let id = desk.run(HELD[0]);
    desk.ask(ABSENT);
    assert_eq!(desk.unload(), None);
    desk.scheduler.finished(id, true, desk.now);
    assert_eq!(desk.unload(), Some(HELD[0]));
}

/// The engine runs what this side can't know of, and keeps it.
#[test]
fn another_comes_first_if_the_engine_keeps_one() {
    let mut desk = Desk::new(&[]);
    let id = desk.run(HELD[1]);
    desk.scheduler.finished(id, true, desk.now);
    desk.ask(ABSENT);
    assert_eq!(desk.unload(), Some(HELD[0]));
    desk.scheduler.unloaded(HELD[0], false, desk.now);
    assert_eq!(desk.unload(), Some(HELD[1]));
    desk.scheduler.unloaded(HELD[1], true, desk.now);
    let load = Action::Load(ABSENT);
    assert!(desk.scheduler.poll(desk.now).contains(&load));
    desk.scheduler.loaded(ABSENT, LoadOutcome::Done, desk.now);
}

/// If the engine keeps all, they are tried again, but not in a hurry.
#[test]
fn what_the_engine_keeps_is_tried_again_after_a_pause() {
    let mut desk = Desk::new(&[HELD[1]]);
    desk.ask(ABSENT);
    let mut tries = Vec::new();
    for _ in 0..3 {
        assert_eq!(desk.unload(), Some(HELD[0]));
        tries.push(desk.now);
        desk.scheduler.unloaded(HELD[0], false, desk.now);
    }
    let calm = |w: &[Millis]| w[1].since(w[0]) >= Millis(250);
    assert!(tries.windows(2).all(calm), "{tries:?}");
}
