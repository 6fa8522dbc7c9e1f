//! One seeded run in virtual time: entries with a router each, and engines of which some freeze.
//! No answer begins at a frozen engine.

use std::collections::BTreeMap;

use pumicecleat_policy::{
    AttemptOutcome, LoraIx, PoolIx, RetryBudget, RetryBudgetOptions, RouteDecision, RouteQuery,
    Router, RouterOptions, UpstreamIx,
};
use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Engine, SERVICE_MS, STEP_MS, Store};
use crate::site::{COUNTED_MS, Site, Tally};

const POOL: PoolIx = PoolIx(0);

/// Interval between two reports of a side, milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Delay of a report to the entries, milliseconds.
const REPORT_DELAY_MS: u64 = 100;

/// Header timeout on top of the expected wait, milliseconds.
pub const HEADER_TIMEOUT_MS: u64 = 2_000;

/// Time from a request's arrival to its deadline, milliseconds.
const DEADLINE_MS: u64 = 30_000;

/// Length of a run, milliseconds.
const RUN_LENGTH_MS: u64 = 120_000;

enum Event {
    Arrival,
    Report { up: u32 },
    AnswerStart { up: u32, attempt: usize },
    End { up: u32, attempt: usize },
    Timeout { attempt: usize },
}

struct Request {
    entry: usize,
    lora: LoraIx,
    at: u64,
    tried: Vec<UpstreamIx>,
}

struct Attempt {
    request: usize,
    up: u32,
    answering: bool,
    ended: bool,
}

struct Trial {
    site: Site,
    rng: ChaCha8Rng,
    cumulative: Vec<f64>,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    routers: Vec<Router>,
    budgets: Vec<RetryBudget>,
    engines: Vec<Engine>,
    store: Store,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    tally: Tally,
}

/// Runs a site with one seed.
pub fn run(site: Site, options: RouterOptions, seed: u64) -> Tally {
    let mut trial = Trial::new(site, options, seed);
    trial.start();
    while let Some(((at, _), event)) = trial.events.pop_first() {
        if at > RUN_LENGTH_MS {
            break;
        }
        trial.step(&event, at);
    }
    trial.tally.loads = trial.store.load_count;
    trial.tally
}

impl Trial {
    fn new(site: Site, options: RouterOptions, seed: u64) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=site.loras).map(|rank| {
            sum += f64::from(rank).powf(-1.1);
            sum
        });
        let router = |entry: usize| {
            let seed = seed * 100 + entry as u64;
            let load = Millis(site.load_ms);
            let options = RouterOptions {
                seed,
                load_time: load,
                ..options
            };
            Router::new_ext(options)
        };
        Self {
            site,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cumulative: cumulative.collect(),
            events: BTreeMap::new(),
            last_event: 0,
            routers: (0..site.entries).map(router).collect(),
            budgets: vec![RetryBudget::new_ext(RetryBudgetOptions::default()); site.entries],
            engines: (0..site.engines).map(|_| Engine::default()).collect(),
            store: Store {
                load_ms: site.load_ms,
                free_at: 0,
                load_count: 0,
            },
            requests: Vec::new(),
            attempts: Vec::new(),
            tally: Tally::default(),
        }
    }

    fn start(&mut self) {
        for up in 0..self.site.engines {
            let (all, step) = (self.site.loras, self.site.engines as usize);
            let engine = &mut self.engines[up as usize];
            (up..all)
                .step_by(step)
                .for_each(|l| engine.preload(LoraIx(l)));
            self.deliver_report(up, 0);
            let at = self.rng.random_range(0..REPORT_INTERVAL_MS);
            self.schedule(at, Event::Report { up });
        }
        self.schedule(1, Event::Arrival);
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    fn frozen(&self, up: u32, now: u64) -> bool {
        up < self.site.frozen_engines && self.site.freezes_ms.iter().any(|f| f.contains(&now))
    }

    fn step(&mut self, event: &Event, now: u64) {
        match *event {
            Event::Arrival => self.arrive(now),
            Event::Report { up } => self.report(up, now),
            Event::AnswerStart { up, attempt } => self.start_answer(up, attempt, now),
            Event::End { up, attempt } => self.end(up, attempt, now),
            Event::Timeout { attempt } => self.timeout(attempt, now),
        }
    }

    fn arrive(&mut self, now: u64) {
        let entry = self.rng.random_range(0..self.site.entries);
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let at = self.rng.random_range(0.0..total);
        let rank = self.cumulative.partition_point(|&s| s <= at);
        let lora = LoraIx(u32::try_from(rank).unwrap_or(0));
        let tried = Vec::new();
        self.requests.push(Request {
            entry,
            lora,
            at: now,
            tried,
        });
        self.budgets[entry].record_request();
        self.tally.requests += 1;
        self.send(self.requests.len() - 1, now);
        let u: f64 = self.rng.random_range(1e-9..1.0);
        let gap = (-u.ln() * 1_000.0 / self.site.requests_per_second).round();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        self.schedule(now + gap as u64, Event::Arrival);
    }

    fn send(&mut self, request: usize, now: u64) {
        let r = &self.requests[request];
        let (entry, lora) = (r.entry, r.lora);
        let query = RouteQuery {
            pool: POOL,
            lora: Some(lora),
            prompt: None,
            time_left: Millis((r.at + DEADLINE_MS).saturating_sub(now)),
            tried: &r.tried,
        };
        let RouteDecision::Send(selected) = self.routers[entry].choose(&query, Millis(now)) else {
            self.tally.failed += 1;
            return;
        };
        self.routers[entry].record_send(selected.up, Some(lora), Millis(now));
        let up = selected.up.0;
        self.tally.frozen_hits += u64::from(self.frozen(up, now));
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            up,
            answering: false,
            ended: false,
        });
        self.engines[up as usize].enqueue(attempt, lora);
        self.start_queued(up, now);
        self.schedule(
            now + selected.wait.0 + HEADER_TIMEOUT_MS,
            Event::Timeout { attempt },
        );
    }

    fn start_queued(&mut self, up: u32, now: u64) {
        for started in self.engines[up as usize].start_queued(&mut self.store, now) {
            let slow = self.rng.random_range(0..10) == 0;
            let step = if slow { 2 * STEP_MS } else { STEP_MS };
            let at = started.ready_at.max(now) + step;
            let attempt = started.attempt;
            self.schedule(at, Event::AnswerStart { up, attempt });
        }
    }

    fn start_answer(&mut self, up: u32, attempt: usize, now: u64) {
        if self.attempts[attempt].ended || self.frozen(up, now) {
            return;
        }
        self.attempts[attempt].answering = true;
        let r = &self.requests[self.attempts[attempt].request];
        self.routers[r.entry].record_answer_start(UpstreamIx(up), Millis(now));
        if COUNTED_MS.contains(&r.at) {
            self.tally.waits_ms.push(now - r.at);
        }
        let run = self.rng.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
        self.schedule(now + run, Event::End { up, attempt });
    }

    fn end(&mut self, up: u32, attempt: usize, now: u64) {
        self.finish(attempt, AttemptOutcome::Completed, now);
        self.start_queued(up, now);
    }

    fn timeout(&mut self, attempt: usize, now: u64) {
        let (request, up) = (self.attempts[attempt].request, self.attempts[attempt].up);
        if self.attempts[attempt].answering {
            return;
        }
        self.finish(attempt, AttemptOutcome::Stalled, now);
        self.start_queued(up, now);
        let r = &mut self.requests[request];
        r.tried.push(UpstreamIx(up));
        if self.budgets[r.entry].try_retry() {
            self.send(request, now);
        } else {
            self.tally.failed += 1;
        }
    }

    fn finish(&mut self, attempt: usize, outcome: AttemptOutcome, now: u64) {
        let a = &mut self.attempts[attempt];
        a.ended = true;
        let r = &self.requests[a.request];
        let up = UpstreamIx(a.up);
        self.engines[a.up as usize].remove(attempt);
        self.routers[r.entry].record_outcome(up, Some(r.lora), outcome, Millis(now));
    }

    fn report(&mut self, up: u32, now: u64) {
        if self.site.frozen_report || !self.frozen(up, now) {
            self.deliver_report(up, now);
        }
        self.schedule(now + REPORT_INTERVAL_MS, Event::Report { up });
    }

    /// Delivers a report to every entry, dated [`REPORT_DELAY_MS`] after now.
    fn deliver_report(&mut self, up: u32, now: u64) {
        let engine = &self.engines[up as usize];
        let (resident, loading) = (engine.resident(now), engine.loading(now));
        let queued = self.store.free_at.saturating_sub(now);
        for router in &mut self.routers {
            router.set_load_time(Millis(queued + self.store.load_ms));
            let at = Millis(now + REPORT_DELAY_MS);
            let ix = UpstreamIx(up);
            router.report(ix, POOL, &engine.figures(), Some(&resident), loading, at);
            router.expire(Millis(now));
        }
    }
}
