//! Pauses within streams beside the prefill of other prompts: one engine that prefills so many tokens in a step that
//! four steps in a row exceed the longest pause, and what its callers get.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the simulation uses small numbers"
)]

use std::collections::BTreeMap;

use pumicecleat_policy::{
    EngineReport, ReportedRun, TurnAction, TurnId, TurnOptions, TurnRequest, TurnScheduler,
};
use pumicecleat_types::{EngineTraits, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 5;
const SPAN_MS: u64 = 40_000;
const REPORT_MS: u64 = 25;
const OBJECTIVE: Millis = Millis(2_000);
const PAUSE: Millis = Millis(400);

#[derive(Clone, Copy, Debug)]
struct Load {
    tokens_per_second: f64,
    /// Time of an event without prefill and during one, ms.
    event_ms: f64,
    prefill_event_ms: f64,
    requests_per_second: f64,
    prompt_tokens: f64,
    events: u64,
    /// Factor by which the engine is slower during a part of each second.
    slowdown: f64,
}

/// An engine with chunks of 2,048 tokens and four steps per event.
const LONG_STEPS: Load = Load {
    tokens_per_second: 22_000.0,
    event_ms: 36.0,
    prefill_event_ms: 430.0,
    requests_per_second: 7.0,
    prompt_tokens: 2_000.0,
    events: 40,
    slowdown: 1.0,
};

struct Run {
    id: String,
    tokens_left: f64,
    events: u64,
    /// Part of the next event that is complete.
    progress: f64,
    last_event: u64,
    longest: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    first_event: Option<u64>,
    paused: bool,
}

#[derive(Debug)]
struct Results {
    /// Parts of all requests.
    on_time: f64,
    paused: f64,
    first_late: f64,
}

struct Play {
    load: Load,
    scheduler: TurnScheduler,
    runs: Vec<Run>,
    waiting: BTreeMap<TurnId, usize>,
    arrivals: Vec<(u64, u32)>,
    outcomes: Vec<Outcome>,
}

impl Play {
    fn new(load: Load, pause_guard: f64, seed: u64) -> Self {
        let mut scheduler = TurnScheduler::new_ext(TurnOptions {
            adapter_slots: 4,
            max_batch: 64,
            pause_guard,
            ..TurnOptions::default()
        });
        scheduler.set_peer_traits(&EngineTraits {
            tokens_per_s: load.tokens_per_second as u64,
            ..EngineTraits::default()
        });
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut at, mut arrivals) = (0.0, Vec::new());
        while at < SPAN_MS as f64 {
            at += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / load.requests_per_second;
            let size = 0.67 * 3.0_f64.powf(rng.random::<f64>() * 2.0 - 1.0);
            arrivals.push((at as u64, (load.prompt_tokens * size) as u32));
        }
        Self {
            load,
            scheduler,
            runs: Vec::new(),
            waiting: BTreeMap::new(),
            outcomes: vec![Outcome::default(); arrivals.len()],
            arrivals,
        }
    }

    fn play(mut self) -> Results {
        let mut next = 0;
        for now in (0..SPAN_MS + 20_000).step_by(STEP_MS as usize) {
            self.work(now);
            if now.is_multiple_of(REPORT_MS) {
                self.scheduler.apply_report(&self.report(), Millis(now));
            }
            while next < self.arrivals.len() && self.arrivals[next].0 <= now {
                self.arrive(next, now);
                next += 1;
            }
            self.decide(now);
        }
        self.results()
    }

    fn work(&mut self, now: u64) {
        let slow = now % 1_000 < 200;
        let speed = if slow { 1.0 / self.load.slowdown } else { 1.0 };
        let step_ms = STEP_MS as f64 * speed;
        let mut budget = self.load.tokens_per_second * step_ms / 1_000.0;
        let prefilling = self.runs.iter().any(|r| r.tokens_left > 0.0);
        let event_ms = if prefilling {
            self.load.prefill_event_ms
        } else {
            self.load.event_ms
        };
        for run in &mut self.runs {
            if run.tokens_left > 0.0 {
                let read = run.tokens_left.min(budget);
                run.tokens_left -= read;
                budget -= read;
                if run.tokens_left <= 0.0 {
                    run.events = 1;
                    run.last_event = now;
                }
                continue;
            }
            run.progress += step_ms / event_ms;
            if run.progress >= 1.0 {
                run.progress = 0.0;
                run.events += 1;
                run.longest = run.longest.max(now - run.last_event);
                run.last_event = now;
            }
        }
        self.finish(now);
    }

    fn finish(&mut self, now: u64) {
        for run in &self.runs {
            let index: usize = run.id[1..].parse().unwrap();
            let outcome = &mut self.outcomes[index];
            if run.events > 0 && outcome.first_event.is_none() {
                outcome.first_event = Some(now - self.arrivals[index].0);
            }
            outcome.paused = run.longest > PAUSE.0;
        }
        let events = self.load.events;
        let ended = self.runs.extract_if(.., |run| run.events >= events);
        for run in ended {
            self.scheduler.request_ended(&run.id);
        }
    }

    fn report(&self) -> EngineReport {
        let started = self.runs.iter().filter(|r| r.events > 0);
        let runs = started.map(|r| ReportedRun {
            request_id: r.id.clone(),
            events: r.events,
        });
        EngineReport {
            base_loaded: true,
            loaded_adapters: vec![("a1".to_owned(), 1)],
            runs: runs.collect(),
            active: self.runs.len() as u32,
            ..EngineReport::default()
        }
    }

    fn arrive(&mut self, index: usize, now: u64) {
        let request = TurnRequest {
            request_id: format!("r{index}"),
            adapter: Some("a1".to_owned()),
            prompt_tokens: self.arrivals[index].1,
            priority: 1,
            objective: OBJECTIVE,
            objective_left: OBJECTIVE,
            patience: Millis(8_000),
            waits_for_slot: true,
            pause: PAUSE,
            ..TurnRequest::default()
        };
        let turn = self.scheduler.enqueue(request, Millis(now));
        self.waiting.insert(turn, index);
    }

    fn decide(&mut self, now: u64) {
        for action in self.scheduler.poll(Millis(now)) {
            match action {
                TurnAction::Grant { turn, .. } => {
                    let index = self.waiting.remove(&turn).unwrap();
                    self.runs.push(Run {
                        id: format!("r{index}"),
                        tokens_left: f64::from(self.arrivals[index].1),
                        events: 0,
                        progress: 0.0,
                        last_event: now,
                        longest: 0,
                    });
                }
                TurnAction::Refuse { turn, .. } => {
                    self.waiting.remove(&turn);
                }
                TurnAction::Order { .. } => {}
            }
        }
    }

    fn results(&self) -> Results {
        let part = |is: &dyn Fn(&Outcome) -> bool| {
            let count = self.outcomes.iter().filter(|o| is(o)).count();
            count as f64 / self.outcomes.len() as f64
        };
        let in_time = |o: &Outcome| o.first_event.is_some_and(|at| at <= OBJECTIVE.0);
        Results {
            on_time: part(&|o| in_time(o) && !o.paused),
            paused: part(&|o| o.paused),
            first_late: part(&|o| !in_time(o)),
        }
    }
}

fn play(load: Load, pause_guard: f64) -> Results {
    let results: Vec<Results> = (0..4)
        .map(|seed| Play::new(load, pause_guard, seed).play())
        .collect();
    let mean = |of: &dyn Fn(&Results) -> f64| results.iter().map(of).sum::<f64>() / 4.0;
    Results {
        on_time: mean(&|r| r.on_time),
        paused: mean(&|r| r.paused),
        first_late: mean(&|r| r.first_late),
    }
}

/// Guards against engines that prefill prompt after prompt while their streams wait for more than the longest pause.
/// The engine's prefill takes less than half of its time, so that nine of ten streams can be on time.
#[test]
fn prompts_wait_while_a_stream_would_exceed_its_pause() {
    let without = play(LONG_STEPS, 0.0);
    let with = play(LONG_STEPS, 0.4);
    println!("without {without:?}\nwith {with:?}");
    assert!(with.on_time >= 0.9, "{with:?}, without {without:?}");
    assert!(with.first_late <= without.first_late + 0.05, "{with:?}");
}

/// Guards against holding prompts back at an engine whose steps are short enough: that would only delay prompts.
#[test]
fn prompts_are_not_held_back_where_streams_keep_their_pause() {
    let short = Load {
        prefill_event_ms: 150.0,
        requests_per_second: 8.0,
        ..LONG_STEPS
    };
    let without = play(short, 0.0);
    let with = play(short, 0.4);
    println!("without {without:?}\nwith {with:?}");
    assert!(
        with.on_time >= without.on_time - 0.01,
        "{with:?}, without {without:?}"
    );
}

/// Guards against starving prompts at an engine that can't keep the pause at all: its streams are late in any case.
#[test]
fn prompts_are_served_at_an_engine_that_can_not_keep_the_pause() {
    let stalled = Load {
        event_ms: 450.0,
        prefill_event_ms: 900.0,
        requests_per_second: 2.0,
        events: 6,
        ..LONG_STEPS
    };
    let without = play(stalled, 0.0);
    let with = play(stalled, 0.4);
    println!("without {without:?}\nwith {with:?}");
    assert!(
        with.first_late <= without.first_late + 0.05,
        "{with:?}, without {without:?}"
    );
}

/// Guards against prompts that wait for ever for a stream whose events are no longer reported.
#[test]
fn prompts_wait_no_longer_than_the_pause_if_reports_stop() {
    let mut scheduler = TurnScheduler::new_ext(TurnOptions {
        adapter_slots: 4,
        max_batch: 64,
        pause_guard: 0.4,
        ..TurnOptions::default()
    });
    scheduler.set_peer_traits(&EngineTraits {
        tokens_per_s: 20_000,
        ..EngineTraits::default()
    });
    scheduler.apply_report(
        &EngineReport {
            base_loaded: true,
            ..EngineReport::default()
        },
        Millis(0),
    );
    let request = |id: &str| TurnRequest {
        request_id: id.to_owned(),
        prompt_tokens: 400,
        objective: OBJECTIVE,
        objective_left: OBJECTIVE,
        patience: Millis(8_000),
        pause: PAUSE,
        ..TurnRequest::default()
    };
    let mut granted = |id: &str, at: u64| {
        scheduler.enqueue(request(id), Millis(at));
        let granted = !scheduler.poll(Millis(at)).is_empty();
        if id == "r1" {
            scheduler.request_started(id, Millis(at));
        }
        granted
    };
    assert!(granted("r1", 10));
    assert!(granted("r2", 150), "before the stream's event is overdue");
    assert!(!granted("r3", 200));
    assert!(!granted("r4", 400));
    assert!(granted("r5", 420), "the pause is exceeded in any case");
}
