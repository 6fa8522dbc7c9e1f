//! Faults once found, each a case file: events with the orders expected of each.

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
    /// Weight of full batches, percent.
    weight: u32,
    /// Longest hold, milliseconds.
    #[serde(default)]
    hold: u64,
    steps: Vec<Step>,
}

#[derive(Deserialize)]
struct Step {
    at: u64,
    event: Event,
    /// Orders, as `name number`.
    orders: Vec<String>,
    /// Expected wait told to entries, milliseconds.
    wait_ms: Option<u32>,
    /// Next wake, if checked.
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
    /// Whether it is refused at once.
    #[serde(default)]
    refused: bool,
}

fn apply(side: &mut Scheduler, event: &Event, now: Millis) {
    match event {
        Event::Submit(submit) => {
            let job = job(submit, now);
            let refused = side.submit(job, now).is_err();
            assert_eq!(refused, submit.refused, "{:?}", job.id);
        }
        Event::Go { ttl_ms } => side.bid_answered(LoadTurn::Go { ttl_ms: *ttl_ms }, now),
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
            side.bid_answered(turn, now);
        }
        Event::Silence { roll } => side.bid_unanswered(*roll, now),
        Event::Loaded { lora } => side.loaded(LoraIx(*lora), LoadOutcome::Done, now),
        Event::Failed { lora } => side.loaded(LoraIx(*lora), LoadOutcome::Failed, now),
        Event::Unloaded { lora } => side.unloaded(LoraIx(*lora), true, now),
        Event::Finished { id } => side.finished(JobId(*id), true, now),
        Event::Close => side.close(Reason::Leaving),
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

fn name(action: &Action) -> String {
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
    let mut side = Scheduler::new_ext(SchedulerOptions {
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
        apply(&mut side, &step.event, now);
        let orders: Vec<String> = side.poll(now).iter().map(name).collect();
        assert_eq!(orders, step.orders, "step {n}");
        if let Some(wait_ms) = step.wait_ms {
            assert_eq!(side.figures().wait_ms, wait_ms, "step {n}");
        }
        if let Some(wake) = step.wake {
            assert_eq!(side.next_wake(now), Some(Millis(wake)), "step {n}");
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = replay, root = "tests/cases", pattern = r"^.*\.json$" },
}
