//! Regression cases, one file each: events, with the actions expected after each event.

use std::path::Path;

use pumicecleat_policy::{
    Action, CallerIx, Job, JobId, LoadOutcome, LoraIx, ObjectiveWeights, Scheduler,
    SchedulerOptions,
};
use pumicecleat_types::{LoadTurn, Millis, Reason};
use serde::Deserialize;

#[derive(Deserialize)]
struct Case {
    slots: u32,
    batch: u32,
    /// Weight of filling batches, in percent.
    weight: u32,
    /// Longest hold, in milliseconds.
    #[serde(default)]
    hold: u64,
    steps: Vec<Step>,
}

#[derive(Deserialize)]
struct Step {
    at: u64,
    event: Event,
    /// Expected actions, as `name number`.
    orders: Vec<String>,
    /// Expected wait reported to entries, in milliseconds, if checked.
    wait_ms: Option<u32>,
    /// Expected next wake, in milliseconds, if checked.
    wake: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Event {
    Submit(Submit),
    Go {
        ttl_ms: u64,
    },
    Wait {
        again_ms: u64,
        #[serde(default)]
        turn_ms: u64,
        #[serde(default)]
        round_ms: u64,
    },
    Silence {
        roll: u64,
    },
    Loaded {
        lora: u32,
    },
    Failed {
        lora: u32,
    },
    Unloaded {
        lora: u32,
    },
    Finished {
        id: u64,
    },
    Close,
    Poll,
}

#[derive(Deserialize)]
struct Submit {
    id: u64,
    lora: Option<u32>,
    caller: u32,
    deadline: u64,
    tokens: u32,
    /// Whether `submit` is expected to refuse it.
    #[serde(default)]
    refused: bool,
}

fn apply(scheduler: &mut Scheduler, event: &Event, now: Millis) {
    match event {
        Event::Submit(submit) => {
            let job = job(submit, now);
            let refused = scheduler.submit(job, now).is_err();
            assert_eq!(refused, submit.refused, "{:?}", job.id);
        }
        Event::Go { ttl_ms } => scheduler.bid_answered(LoadTurn::Granted { ttl_ms: *ttl_ms }, now),
        &Event::Wait {
            again_ms,
            turn_ms,
            round_ms,
        } => {
            let turn = LoadTurn::Wait {
                again_ms,
                turn_ms,
                round_ms,
            };
            scheduler.bid_answered(turn, now);
        }
        Event::Silence { roll } => scheduler.bid_unanswered(*roll, now),
        Event::Loaded { lora } => scheduler.loaded(LoraIx(*lora), LoadOutcome::Done, now),
        Event::Failed { lora } => scheduler.loaded(LoraIx(*lora), LoadOutcome::Failed, now),
        Event::Unloaded { lora } => scheduler.unloaded(LoraIx(*lora), true, now),
        Event::Finished { id } => scheduler.finished(JobId(*id), true, now),
        Event::Close => scheduler.close(Reason::Leaving),
        Event::Poll => {}
    }
}

fn job(submit: &Submit, now: Millis) -> Job {
    Job {
        id: JobId(submit.id),
        lora: submit.lora.map(LoraIx),
        caller: CallerIx(submit.caller),
        claim: 1,
        priority: 0,
        deadline: Millis(submit.deadline),
        arrived: now,
        tokens: submit.tokens,
    }
}

fn describe(action: &Action) -> String {
    match action {
        Action::Send(id) => format!("send {}", id.0),
        Action::Refuse(id, _) => format!("refuse {}", id.0),
        Action::Bid(bid) => format!("bid {}", bid.lora.0),
        Action::ReleaseTurn => "give back".into(),
        Action::Load(lora) => format!("load {}", lora.0),
        Action::Unload(lora) => format!("unload {}", lora.0),
    }
}

fn replay(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let mut scheduler = Scheduler::new_ext(SchedulerOptions {
        slots: case.slots,
        max_batch: case.batch,
        weights: ObjectiveWeights {
            stall: 100 - case.weight,
            batch: case.weight,
        },
        max_hold: Millis(case.hold),
        ..SchedulerOptions::default()
    });
    for (n, step) in case.steps.iter().enumerate() {
        let now = Millis(step.at);
        apply(&mut scheduler, &step.event, now);
        let actions: Vec<String> = scheduler.poll(now).iter().map(describe).collect();
        assert_eq!(actions, step.orders, "step {n}");
        if let Some(wait_ms) = step.wait_ms {
            assert_eq!(scheduler.figures().wait_ms, wait_ms, "step {n}");
        }
        if let Some(wake) = step.wake {
            assert_eq!(scheduler.next_wake(now), Some(Millis(wake)), "step {n}");
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = replay, root = "tests/cases", pattern = r"^.*\.json$" },
}
