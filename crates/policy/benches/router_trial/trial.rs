//! One seeded run in virtual time: entries with a router each, before engines of which some freeze.

use std::collections::BTreeMap;

use pumicecleat_policy::{
    AttemptOutcome, LoraIx, PoolIx, RetryBudget, RetryBudgetOptions, RouteDecision, RouteQuery,
    Router, RouterOptions, UpstreamIx,
};
use pumicecleat_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Engine, SERVICE, STEP, Store};
use crate::site::{COUNTED, Site, Tally};

const POOL: PoolIx = PoolIx(0);

/// Interval of reports, milliseconds.
const REPORT: u64 = 1_000;

/// Delay of a report, milliseconds.
const LAG: u64 = 100;

/// Header timeout beyond the expected wait, milliseconds.
pub const HEADER: u64 = 2_000;

/// Time until a caller's deadline, milliseconds.
const DEADLINE: u64 = 30_000;

/// Length of a run, milliseconds.
const LENGTH: u64 = 120_000;

enum Event {
    Arrive,
    Report { up: u32 },
    First { up: u32, attempt: usize },
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
    begun: bool,
    over: bool,
}

struct Trial {
    site: Site,
    rng: ChaCha8Rng,
    sums: Vec<f64>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    routers: Vec<Router>,
    budgets: Vec<RetryBudget>,
    engines: Vec<Engine>,
    store: Store,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    tally: Tally,
}

/// Runs one seed.
pub fn run(site: Site, options: RouterOptions, seed: u64) -> Tally {
    let mut trial = Trial::new(site, options, seed);
    trial.start();
    while let Some(((at, _), event)) = trial.events.pop_first() {
        if at > LENGTH {
            break;
        }
        trial.step(&event, at);
    }
    trial.tally.loads = trial.store.loads;
    trial.tally
}

impl Trial {
    fn new(site: Site, options: RouterOptions, seed: u64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=site.loras).map(|rank| {
            sum += f64::from(rank).powf(-1.1);
            sum
        });
        let router = |entry: usize| {
            let seed = seed * 100 + entry as u64;
            let load = Millis(site.load);
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
            sums: sums.collect(),
            events: BTreeMap::new(),
            next: 0,
            routers: (0..site.entries).map(router).collect(),
            budgets: vec![RetryBudget::new_ext(RetryBudgetOptions::default()); site.entries],
            engines: (0..site.engines).map(|_| Engine::default()).collect(),
            store: Store {
                load: site.load,
                free: 0,
                loads: 0,
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
            (up..all).step_by(step).for_each(|l| engine.warm(LoraIx(l)));
            self.deliver(up, 0);
            let at = self.rng.random_range(0..REPORT);
            self.at(at, Event::Report { up });
        }
        self.at(1, Event::Arrive);
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn frozen(&self, up: u32, now: u64) -> bool {
        up < self.site.frozen && self.site.freezes.iter().any(|f| f.contains(&now))
    }

    fn step(&mut self, event: &Event, now: u64) {
        match *event {
            Event::Arrive => self.arrive(now),
            Event::Report { up } => self.report(up, now),
            Event::First { up, attempt } => self.first(up, attempt, now),
            Event::End { up, attempt } => self.end(up, attempt, now),
            Event::Timeout { attempt } => self.timeout(attempt, now),
        }
    }

    fn arrive(&mut self, now: u64) {
        let entry = self.rng.random_range(0..self.site.entries);
        let total = self.sums.last().copied().unwrap_or(0.0);
        let at = self.rng.random_range(0.0..total);
        let rank = self.sums.partition_point(|&s| s <= at);
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
        let gap = (-u.ln() * 1_000.0 / self.site.rate).round();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        self.at(now + gap as u64, Event::Arrive);
    }

    fn send(&mut self, request: usize, now: u64) {
        let r = &self.requests[request];
        let (entry, lora) = (r.entry, r.lora);
        let ask = RouteQuery {
            pool: POOL,
            lora: Some(lora),
            prompt: None,
            time_left: Millis((r.at + DEADLINE).saturating_sub(now)),
            tried: &r.tried,
        };
        let RouteDecision::Send(pick) = self.routers[entry].choose(&ask, Millis(now)) else {
            self.tally.failed += 1;
            return;
        };
        self.routers[entry].record_send(pick.up, Some(lora), Millis(now));
        let up = pick.up.0;
        self.tally.hits += u64::from(self.frozen(up, now));
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            up,
            begun: false,
            over: false,
        });
        self.engines[up as usize].push(attempt, lora);
        self.begin(up, now);
        self.at(now + pick.wait.0 + HEADER, Event::Timeout { attempt });
    }

    fn begin(&mut self, up: u32, now: u64) {
        for begun in self.engines[up as usize].begin(&mut self.store, now) {
            let slow = self.rng.random_range(0..10) == 0;
            let step = if slow { 2 * STEP } else { STEP };
            let at = begun.ready.max(now) + step;
            let attempt = begun.attempt;
            self.at(at, Event::First { up, attempt });
        }
    }

    fn first(&mut self, up: u32, attempt: usize, now: u64) {
        if self.attempts[attempt].over || self.frozen(up, now) {
            return;
        }
        self.attempts[attempt].begun = true;
        let r = &self.requests[self.attempts[attempt].request];
        self.routers[r.entry].record_answer_start(UpstreamIx(up), Millis(now));
        if COUNTED.contains(&r.at) {
            self.tally.waits.push(now - r.at);
        }
        let run = self.rng.random_range(SERVICE / 2..SERVICE * 3 / 2);
        self.at(now + run, Event::End { up, attempt });
    }

    fn end(&mut self, up: u32, attempt: usize, now: u64) {
        self.finish(attempt, AttemptOutcome::Completed, now);
        self.begin(up, now);
    }

    fn timeout(&mut self, attempt: usize, now: u64) {
        let (request, up) = (self.attempts[attempt].request, self.attempts[attempt].up);
        if self.attempts[attempt].begun {
            return;
        }
        self.finish(attempt, AttemptOutcome::Stalled, now);
        self.begin(up, now);
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
        a.over = true;
        let r = &self.requests[a.request];
        let up = UpstreamIx(a.up);
        self.engines[a.up as usize].remove(attempt);
        self.routers[r.entry].record_outcome(up, Some(r.lora), outcome, Millis(now));
    }

    fn report(&mut self, up: u32, now: u64) {
        if self.site.reports || !self.frozen(up, now) {
            self.deliver(up, now);
        }
        self.at(now + REPORT, Event::Report { up });
    }

    /// Gives every entry a report; it is as old as its lag by the time that the next one is due.
    fn deliver(&mut self, up: u32, now: u64) {
        let engine = &self.engines[up as usize];
        let (resident, loading) = (engine.resident(now), engine.loading(now));
        let queued = self.store.free.saturating_sub(now);
        for router in &mut self.routers {
            router.set_load_time(Millis(queued + self.store.load));
            let at = Millis(now + LAG);
            let ix = UpstreamIx(up);
            router.report(ix, POOL, &engine.figures(), Some(&resident), loading, at);
            router.expire(Millis(now));
        }
    }
}
