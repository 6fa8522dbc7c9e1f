//! Simulation of one run: requests arrive, the gateway chooses engines, agents grant turns, engines work.

use std::collections::BTreeMap;

use pumicecleat_policy::{
    AdapterState, BaseLoadTimes, EngineChoice, EngineView, TurnAction, TurnId, TurnOptions,
    TurnRequest, TurnScheduler, TurnSearch, name_key,
};
use pumicecleat_types::{EngineFigures, Millis, TurnRefusal};

use super::STEP_MS;
use super::callers::{Outcome, Request, Workload};
use super::engine::{Engine, EngineSpec, millis};

/// Latency between the gateway and an agent or engine, and latency of reports of first events, ms.
const LATENCY_MS: u64 = 5;
const NEWS_LATENCY_MS: u64 = 25;

/// Intervals between reports, between reports while a request waits for its adapter, and between figures sent
/// to the gateway, ms.
const REPORT_INTERVAL_MS: u64 = 100;
const URGENT_REPORT_INTERVAL_MS: u64 = 25;
const FIGURES_INTERVAL_MS: u64 = 200;

/// Time for which callers wait for the first event, in objectives.
const PATIENCE_OBJECTIVES: u64 = 4;

/// Number of times that a refused caller retries.
const MAX_RETRIES: u32 = 1;

/// An engine and its agent.
pub struct Node {
    pub engine: Engine,
    pub scheduler: TurnScheduler,
    figures: EngineFigures,
    cached: Vec<String>,
    last_report: u64,
    waiting: BTreeMap<TurnId, usize>,
    news: Vec<(u64, String, bool)>,
    /// Asks not yet included in the figures: time, prompt tokens, whether a slot is needed.
    recent_asks: Vec<(u64, u32, bool)>,
    /// Requests that waited at an agent that was lost.
    lost_asks: Vec<usize>,
}

/// Engines with their agents.
pub struct Fleet {
    pub nodes: Vec<Node>,
    /// Number of loads that the weight store serves at full speed, over all engines.
    pub store_concurrency: usize,
}

/// State of a request in the simulation.
struct Job {
    request: Request,
    search: TurnSearch,
    asked_engine: usize,
    retries: u32,
    due_at: u64,
    first_event_at: Option<u64>,
    retry_after_ms: Option<u64>,
    refusals: Vec<(u64, TurnRefusal)>,
    done: bool,
}

impl Fleet {
    /// Creates engines without any state.
    pub fn new(specs: &[EngineSpec]) -> Self {
        Self::new_ext(specs, None)
    }

    /// The same, with the smallest number of concurrent loads from the store.
    pub fn new_ext(specs: &[EngineSpec], min_loads: Option<f64>) -> Self {
        let node = |spec: &EngineSpec| Node {
            engine: Engine::new(*spec),
            scheduler: TurnScheduler::new_ext(TurnOptions {
                min_loads,
                ..options(spec, false)
            }),
            figures: EngineFigures::default(),
            cached: Vec::new(),
            last_report: 0,
            waiting: BTreeMap::new(),
            news: Vec::new(),
            recent_asks: Vec::new(),
            lost_asks: Vec::new(),
        };
        Self {
            nodes: specs.iter().map(node).collect(),
            store_concurrency: usize::MAX,
        }
    }

    /// Number of loads from the store in progress.
    pub fn store_loads_in_progress(&self) -> usize {
        let engines = self.nodes.iter().map(|n| &n.engine);
        engines.map(Engine::store_loads_in_progress).sum()
    }

    /// Lets accounts share all engines fairly.
    pub fn share_by_account(&mut self) {
        for node in &mut self.nodes {
            node.scheduler.set_options(options(&node.engine.spec, true));
        }
    }

    /// Replaces the agent of engine `index` by one without any state. Requests that waited at it ask again;
    /// the engine goes on with those it has.
    pub fn restart_agent(&mut self, index: usize, account_shares: bool) {
        let node = &mut self.nodes[index];
        node.scheduler = TurnScheduler::new_ext(options(&node.engine.spec, account_shares));
        node.last_report = 0;
        node.engine.unloads_in_use = true;
        let waiting = std::mem::take(&mut node.waiting);
        node.lost_asks.extend(waiting.into_values());
    }

    /// Prefill rate that the agent of engine `index` has learned.
    pub fn rate(&self, index: usize, now: u64) -> u64 {
        self.nodes[index]
            .scheduler
            .figures("i", millis(now))
            .traits
            .tokens_per_s
    }
}

fn options(spec: &EngineSpec, account_shares: bool) -> TurnOptions {
    TurnOptions {
        adapter_slots: spec.adapter_slots,
        max_batch: 64,
        base_load_times: BaseLoadTimes::default(),
        account_shares,
        ..TurnOptions::default()
    }
}

/// Simulates a workload and returns the outcome of each request. `after_step` is called after every step.
pub fn simulate(
    fleet: &mut Fleet,
    workload: &Workload,
    seed: u64,
    after_step: impl FnMut(&mut Fleet, u64),
) -> Vec<Outcome> {
    simulate_requests(fleet, workload, workload.generate(seed), after_step)
}

/// Simulates the given requests; `workload` tells the objective and the duration.
pub fn simulate_requests(
    fleet: &mut Fleet,
    workload: &Workload,
    requests: Vec<Request>,
    mut after_step: impl FnMut(&mut Fleet, u64),
) -> Vec<Outcome> {
    let mut jobs: Vec<Job> = requests.into_iter().map(Job::new).collect();
    let end = workload.duration_ms + workload.objective_ms * PATIENCE_OBJECTIVES * 2;
    for now in (0..end).step_by(STEP_MS as usize) {
        let store_loads: usize = fleet
            .nodes
            .iter()
            .map(|p| p.engine.store_loads_in_progress())
            .sum();
        let slowdown = (store_loads as f64 / fleet.store_concurrency as f64).max(1.0);
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            work(node, &mut jobs, slowdown, now);
            deliver(node, index, now);
            for job in node.lost_asks.drain(..) {
                let asked = jobs[job].asked_engine.to_string();
                jobs[job].search.record_refusal(&asked);
                jobs[job].due_at = now;
                jobs[job].done = false;
            }
        }
        for job in 0..jobs.len() {
            if !jobs[job].done && jobs[job].due_at <= now {
                arrive(fleet, &mut jobs, job, workload, now);
            }
        }
        decide(fleet, &mut jobs, workload, now);
        after_step(fleet, now);
    }
    jobs.iter().map(Job::outcome).collect()
}

impl Job {
    fn new(request: Request) -> Self {
        Self {
            due_at: request.arrived_at,
            request,
            search: TurnSearch::default(),
            asked_engine: 0,
            retries: 0,
            first_event_at: None,
            retry_after_ms: None,
            refusals: Vec::new(),
            done: false,
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            arrived_at: self.request.arrived_at,
            prompt_tokens: self.request.prompt_tokens,
            priority: self.request.priority,
            account: self.request.account.clone(),
            first_event_ms: self.first_event_at.map(|f| f - self.request.arrived_at),
            refusals: self.refusals.clone(),
        }
    }
}

/// Simulates one step of an engine.
fn work(node: &mut Node, jobs: &mut [Job], slowdown: f64, now: u64) {
    let (first, ended) = node.engine.step(now, slowdown);
    for id in first {
        let index: usize = id[1..].parse().unwrap();
        jobs[index].first_event_at = jobs[index].first_event_at.or(Some(now + LATENCY_MS));
        node.news.push((now + NEWS_LATENCY_MS, id, false));
    }
    let ended = ended
        .into_iter()
        .map(|id| (now + NEWS_LATENCY_MS, id, true));
    node.news.extend(ended);
}

/// Delivers news and reports to the agent, and its figures to the gateway.
fn deliver(node: &mut Node, index: usize, now: u64) {
    let due = node.news.extract_if(.., |n| n.0 <= now);
    for (_, id, ended) in due {
        if ended {
            node.scheduler.request_ended(&id);
        } else {
            node.scheduler.request_started(&id, millis(now));
        }
    }
    let interval = if node.scheduler.is_waiting_for_adapter() {
        URGENT_REPORT_INTERVAL_MS
    } else {
        REPORT_INTERVAL_MS
    };
    if now == 0 || now >= node.last_report + interval {
        node.last_report = now;
        node.scheduler
            .apply_report(&node.engine.report(), millis(now));
    }
    if (now + index as u64 * STEP_MS).is_multiple_of(FIGURES_INTERVAL_MS) {
        node.figures = node.scheduler.figures("i", millis(now));
        node.cached = node.scheduler.cached_adapters();
        node.recent_asks.retain(|a| a.0 + LATENCY_MS > now);
    }
}

/// Chooses an engine for a request that arrives, retries, or was refused by an engine.
fn arrive(fleet: &mut Fleet, jobs: &mut [Job], job: usize, workload: &Workload, now: u64) {
    let request = jobs[job].request.clone();
    jobs[job].done = true;
    let views: Vec<EngineView> = fleet
        .nodes
        .iter()
        .enumerate()
        .map(|(index, node)| view(node, index, &request))
        .collect();
    let candidates: Vec<usize> = (0..views.len())
        .filter(|index| jobs[job].search.is_candidate(&index.to_string()))
        .collect();
    let offered: Vec<EngineView> = candidates.iter().map(|index| views[*index]).collect();
    let choice = EngineChoice::new(name_key(&request.adapter));
    let Some(index) = choice.pick(&offered).map(|index| candidates[index]) else {
        if jobs[job].search.switch_to_waiting() {
            return arrive(fleet, jobs, job, workload, now);
        }
        return refuse(&mut jobs[job], now);
    };
    let Some(waits) = jobs[job].search.count_ask() else {
        return refuse(&mut jobs[job], now);
    };
    jobs[job].asked_engine = index;
    let needs_slot = views[index].adapter_state.needs_slot();
    let node = &mut fleet.nodes[index];
    node.recent_asks
        .push((now, request.prompt_tokens, needs_slot));
    ask(node, &request, job, workload, waits, now);
}

/// Refuses the caller, which retries once after the given time.
fn refuse(job: &mut Job, now: u64) {
    if job.retries >= MAX_RETRIES {
        return;
    }
    job.retries += 1;
    job.search = TurnSearch::default();
    job.due_at = now + job.retry_after_ms.take().unwrap_or(500);
    job.done = false;
}

fn ask(node: &mut Node, request: &Request, job: usize, workload: &Workload, waits: bool, now: u64) {
    let age = now - request.arrived_at;
    let turn = node.scheduler.enqueue(
        TurnRequest {
            request_id: request.id.clone(),
            adapter: Some(request.adapter.clone()),
            min_version: 0,
            prompt_tokens: request.prompt_tokens,
            priority: request.priority,
            objective: Millis(workload.objective_ms),
            objective_left: Millis(workload.objective_ms.saturating_sub(age)),
            patience: Millis((workload.objective_ms * PATIENCE_OBJECTIVES).saturating_sub(age)),
            waits_for_slot: waits,
            account: request.account.clone(),
            ..TurnRequest::default()
        },
        millis(now),
    );
    node.waiting.insert(turn, job);
}

fn view(node: &Node, index: usize, request: &Request) -> EngineView {
    let figures = &node.figures;
    let name = &request.adapter;
    let adapter_state = if figures.loaded_adapters.iter().any(|h| h.0 == *name) {
        AdapterState::Loaded
    } else if figures.loading_adapters.contains(name) {
        AdapterState::Loading
    } else if node.cached.contains(name) {
        AdapterState::Cached
    } else {
        AdapterState::Absent
    };
    let asked: u64 = node.recent_asks.iter().map(|a| u64::from(a.1)).sum();
    let taken = node.recent_asks.iter().filter(|a| a.2).count() as u32;
    EngineView {
        key: index as u64 + 1,
        adapter_state,
        available_slots: figures.available_slots.saturating_sub(taken),
        unread_tokens: figures.unread_tokens + asked,
        prompt_tokens: request.prompt_tokens,
        traits: figures.traits,
        running: figures.running,
        ready_in_ms: figures.ready_ms.unwrap_or_default(),
        ..EngineView::default()
    }
}

/// Carries out the actions of all agents.
fn decide(fleet: &mut Fleet, jobs: &mut [Job], workload: &Workload, now: u64) {
    for node in &mut fleet.nodes {
        for action in node.scheduler.poll(millis(now)) {
            match action {
                TurnAction::Grant { turn, .. } => {
                    let job = node.waiting.remove(&turn).unwrap();
                    let request = &jobs[job].request;
                    let Request { id, adapter, .. } = request;
                    let (tokens, events) = (request.prompt_tokens, request.events);
                    if now < request.arrived_at + workload.objective_ms * PATIENCE_OBJECTIVES {
                        node.engine.send(id, adapter, tokens, events);
                    } else {
                        node.scheduler.request_ended(id);
                    }
                }
                TurnAction::Refuse {
                    turn,
                    reason,
                    retry_after,
                } => {
                    let job = &mut jobs[node.waiting.remove(&turn).unwrap()];
                    job.refusals.push((now, reason));
                    let asked = job.asked_engine.to_string();
                    job.search.record_refusal(&asked);
                    job.retry_after_ms = Some(
                        job.retry_after_ms
                            .map_or(retry_after.0, |r| r.min(retry_after.0)),
                    );
                    job.due_at = now;
                    job.done = false;
                }
                TurnAction::Order { order, sequence } => {
                    let end = node.engine.order(&order, sequence);
                    node.scheduler.order_ended(end, millis(now));
                }
            }
        }
    }
}
