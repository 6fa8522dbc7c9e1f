//! One play: callers come, the entry chooses, sides give turns, engines work.

use std::collections::BTreeMap;

use pumicecleat_policy::{
    AdapterState, BaseLoadTimes, EngineChoice, EngineView, TurnAction, TurnId, TurnOptions,
    TurnRequest, TurnScheduler, TurnSearch, name_key,
};
use pumicecleat_types::{EngineFigures, Millis, TurnRefusal};

use super::STEP;
use super::callers::{Demand, Outcome, Request};
use super::engine::{Engine, Sheet, millis};

/// Way between entry and side or engine, and of news of first events, ms.
const WAY: u64 = 5;
const NEWS: u64 = 25;

/// Pauses between reports, and between figures told to the entry, ms.
const REPORT: u64 = 100;
const HASTE: u64 = 25;
const FIGURES: u64 = 200;

/// Time for which callers wait for a first event, in objectives.
const PATIENCE: u64 = 4;

/// Refused callers come back once.
const RETURNS: u32 = 1;

/// An engine and the side beside it.
pub struct Pair {
    pub engine: Engine,
    pub turns: TurnScheduler,
    figures: EngineFigures,
    kept: Vec<String>,
    reported: u64,
    waiting: BTreeMap<TurnId, usize>,
    news: Vec<(u64, String, bool)>,
    /// Asks that the figures don't show yet: time, tokens, needs a place.
    asking: Vec<(u64, u32, bool)>,
}

/// Engines with their sides.
pub struct Fleet {
    pub pairs: Vec<Pair>,
    /// Loads that the weight store gives at full speed, over all engines.
    pub at_once: usize,
}

/// A request on its way through the play.
struct Job {
    request: Request,
    search: TurnSearch,
    asked: usize,
    returns: u32,
    came: u64,
    first: Option<u64>,
    retry: Option<u64>,
    refusals: Vec<(u64, TurnRefusal)>,
    over: bool,
}

impl Fleet {
    /// Engines that know nothing yet.
    pub fn new(sheets: &[Sheet]) -> Self {
        let pair = |sheet: &Sheet| Pair {
            engine: Engine::new(*sheet),
            turns: TurnScheduler::new_ext(TurnOptions {
                adapter_slots: sheet.places,
                max_batch: 64,
                base_load_times: BaseLoadTimes::default(),
            }),
            figures: EngineFigures::default(),
            kept: Vec::new(),
            reported: 0,
            waiting: BTreeMap::new(),
            news: Vec::new(),
            asking: Vec::new(),
        };
        Self {
            pairs: sheets.iter().map(pair).collect(),
            at_once: usize::MAX,
        }
    }

    /// Rate that the side of engine `at` has learned.
    pub fn rate(&self, at: usize, now: u64) -> u64 {
        self.pairs[at].turns.figures("i", millis(now)).traits.rate
    }
}

/// Plays `demand`; `each` sees the fleet after every step. Gives what became of each request.
pub fn play(
    fleet: &mut Fleet,
    demand: &Demand,
    seed: u64,
    mut each: impl FnMut(&mut Fleet, u64),
) -> Vec<Outcome> {
    let mut jobs: Vec<Job> = demand.draw(seed).into_iter().map(Job::new).collect();
    let end = demand.span + demand.objective * PATIENCE * 2;
    for now in (0..end).step_by(STEP as usize) {
        let fetching: usize = fleet.pairs.iter().map(|p| p.engine.fetching()).sum();
        let stretch = (fetching as f64 / fleet.at_once as f64).max(1.0);
        for (at, pair) in fleet.pairs.iter_mut().enumerate() {
            work(pair, &mut jobs, stretch, now);
            tell(pair, at, now);
        }
        for job in 0..jobs.len() {
            if !jobs[job].over && jobs[job].came <= now {
                arrive(fleet, &mut jobs, job, demand, now);
            }
        }
        decide(fleet, &mut jobs, demand, now);
        each(fleet, now);
    }
    jobs.iter().map(Job::outcome).collect()
}

impl Job {
    fn new(request: Request) -> Self {
        Self {
            came: request.at,
            request,
            search: TurnSearch::default(),
            asked: 0,
            returns: 0,
            first: None,
            retry: None,
            refusals: Vec::new(),
            over: false,
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            at: self.request.at,
            tokens: self.request.tokens,
            rank: self.request.rank,
            first: self.first.map(|f| f - self.request.at),
            refusals: self.refusals.clone(),
        }
    }
}

/// The engine works for a step.
fn work(pair: &mut Pair, jobs: &mut [Job], stretch: f64, now: u64) {
    let (first, ended) = pair.engine.step(now, stretch);
    for id in first {
        let at: usize = id[1..].parse().unwrap();
        jobs[at].first = jobs[at].first.or(Some(now + WAY));
        pair.news.push((now + NEWS, id, false));
    }
    let ended = ended.into_iter().map(|id| (now + NEWS, id, true));
    pair.news.extend(ended);
}

/// News and reports reach the side, and its figures the entry.
fn tell(pair: &mut Pair, at: usize, now: u64) {
    let due = pair.news.extract_if(.., |n| n.0 <= now);
    for (_, id, ended) in due {
        if ended {
            pair.turns.request_ended(&id);
        } else {
            pair.turns.request_started(&id, millis(now));
        }
    }
    let pause = if pair.turns.is_waiting_for_adapter() {
        HASTE
    } else {
        REPORT
    };
    if now == 0 || now >= pair.reported + pause {
        pair.reported = now;
        pair.turns.apply_report(&pair.engine.report(), millis(now));
    }
    if (now + at as u64 * STEP).is_multiple_of(FIGURES) {
        pair.figures = pair.turns.figures("i", millis(now));
        pair.kept = pair.turns.cached_adapters();
        pair.asking.retain(|a| a.0 + WAY > now);
    }
}

/// A request arrives, or comes back, or looks for another engine.
fn arrive(fleet: &mut Fleet, jobs: &mut [Job], job: usize, demand: &Demand, now: u64) {
    let request = jobs[job].request.clone();
    jobs[job].over = true;
    let views: Vec<EngineView> = fleet
        .pairs
        .iter()
        .enumerate()
        .map(|(at, pair)| view(pair, at, &request))
        .collect();
    let open: Vec<usize> = (0..views.len())
        .filter(|at| jobs[job].search.is_candidate(&at.to_string()))
        .collect();
    let offered: Vec<EngineView> = open.iter().map(|at| views[*at]).collect();
    let choice = EngineChoice::new(name_key(&request.adapter));
    let Some(at) = choice.pick(&offered).map(|at| open[at]) else {
        if jobs[job].search.switch_to_waiting() {
            return arrive(fleet, jobs, job, demand, now);
        }
        return refuse(&mut jobs[job], now);
    };
    let Some(stays) = jobs[job].search.count_ask() else {
        return refuse(&mut jobs[job], now);
    };
    jobs[job].asked = at;
    let place = views[at].adapter_state.needs_slot();
    let pair = &mut fleet.pairs[at];
    pair.asking.push((now, request.tokens, place));
    ask(pair, &request, job, demand, stays, now);
}

/// The caller is refused, and comes back once at the time it was told.
fn refuse(job: &mut Job, now: u64) {
    if job.returns >= RETURNS {
        return;
    }
    job.returns += 1;
    job.search = TurnSearch::default();
    job.came = now + job.retry.take().unwrap_or(500);
    job.over = false;
}

fn ask(pair: &mut Pair, request: &Request, job: usize, demand: &Demand, stays: bool, now: u64) {
    let age = now - request.at;
    let turn = pair.turns.enqueue(
        TurnRequest {
            request_id: request.id.clone(),
            adapter: Some(request.adapter.clone()),
            min_version: 0,
            prompt_tokens: request.tokens,
            priority: request.rank,
            objective: Millis(demand.objective),
            objective_left: Millis(demand.objective.saturating_sub(age)),
            patience: Millis((demand.objective * PATIENCE).saturating_sub(age)),
            waits_for_slot: stays,
        },
        millis(now),
    );
    pair.waiting.insert(turn, job);
}

fn view(pair: &Pair, at: usize, request: &Request) -> EngineView {
    let figures = &pair.figures;
    let name = &request.adapter;
    let hold = if figures.held.iter().any(|h| h.0 == *name) {
        AdapterState::Loaded
    } else if figures.loading.contains(name) {
        AdapterState::Loading
    } else if pair.kept.contains(name) {
        AdapterState::Cached
    } else {
        AdapterState::Absent
    };
    let asked: u64 = pair.asking.iter().map(|a| u64::from(a.1)).sum();
    let taken = pair.asking.iter().filter(|a| a.2).count() as u32;
    EngineView {
        key: at as u64 + 1,
        adapter_state: hold,
        available_slots: figures.spare.saturating_sub(taken),
        unread_tokens: figures.unread + asked,
        prompt_tokens: request.tokens,
        traits: figures.traits,
        running: figures.running,
        ready_in_ms: figures.ready_ms.unwrap_or_default(),
        ..EngineView::default()
    }
}

/// The sides decide, and what they decide is carried out.
fn decide(fleet: &mut Fleet, jobs: &mut [Job], demand: &Demand, now: u64) {
    for pair in &mut fleet.pairs {
        for action in pair.turns.poll(millis(now)) {
            match action {
                TurnAction::Grant { turn, .. } => {
                    let job = pair.waiting.remove(&turn).unwrap();
                    let request = &jobs[job].request;
                    let Request { id, adapter, .. } = request;
                    let (tokens, events) = (request.tokens, request.events);
                    if now < request.at + demand.objective * PATIENCE {
                        pair.engine.send(id, adapter, tokens, events);
                    } else {
                        pair.turns.request_ended(id);
                    }
                }
                TurnAction::Refuse {
                    turn,
                    reason,
                    retry_after: retry,
                } => {
                    let job = &mut jobs[pair.waiting.remove(&turn).unwrap()];
                    job.refusals.push((now, reason));
                    let asked = job.asked.to_string();
                    job.search.record_refusal(&asked);
                    job.retry = Some(job.retry.map_or(retry.0, |r| r.min(retry.0)));
                    job.came = now;
                    job.over = false;
                }
                TurnAction::Order { order, sequence } => {
                    let end = pair.engine.order(&order, sequence);
                    pair.turns.order_ended(end, millis(now));
                }
            }
        }
    }
}
