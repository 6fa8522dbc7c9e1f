//! Scheduling of the requests for one engine: which request is sent next, which ones wait, which are refused.
//!
//! A turn is the permission to send one request to the engine.

use std::collections::{BTreeMap, BTreeSet};

mod admit;
mod fairness;
mod figures;
mod grant;
mod order;
mod pauses;
mod run;
mod types;

use pumicecleat_types::{EngineTraits, Millis};

use super::orders::{EngineOrder, OrderOutcome};
use super::pace::{Outstanding, PrefillRate};
use super::places::AdapterSlots;
use crate::shares::AccountShares;
use pauses::PauseGuard;
use run::RunningRequest;
pub use types::{
    BaseLoadTimes, BaseLocation, EngineReport, ReportedRun, TurnAction, TurnId, TurnOptions,
    TurnRequest,
};

/// Largest fraction of the engine's time that prefill may take. Each step of an engine that prefills also
/// processes a chunk of a prompt: a stream gets a token every 117 ms, compared with 11 ms without prefill.
/// Without the remaining time, streams exceed their callers' deadlines and occupy their adapters' slots
/// meanwhile.
const MAX_PREFILL_RATIO: f64 = 0.85;

/// Time after which a running request without any news counts as ended: longer than any stream in the
/// deployments.
const RUNNING_TIMEOUT: Millis = Millis(20_000);

/// Time that a request may take to appear in the engine's report.
const REPORT_DELAY: Millis = Millis(1_500);

#[derive(Clone, Debug)]
struct WaitingRequest {
    request: TurnRequest,
    since: Millis,
}

/// State of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineState {
    /// Does not answer.
    Unknown,
    /// Has no base model loaded.
    NoBase,
    /// Is loading its base model.
    LoadingBase {
        /// When the load was first reported.
        since: Millis,
    },
    /// Has its base model loaded.
    Ready,
}

/// Schedules the requests for one engine.
#[derive(Clone, Debug)]
pub struct TurnScheduler {
    options: TurnOptions,
    slots: AdapterSlots,
    waiting: BTreeMap<TurnId, WaitingRequest>,
    running: BTreeMap<String, RunningRequest>,
    next_id: u64,
    engine: EngineState,
    /// Location of the base model's weights when the engine last had no base model.
    base_location: BaseLocation,
    leaving: bool,
    newest_versions: BTreeMap<String, u64>,
    /// When the prefill of all prompts sent so far should be complete, including the time reserved for
    /// decoding.
    prefill_end: Millis,
    prefill_rate: PrefillRate,
    pause_guard: PauseGuard,
    /// Streams whose pauses have exceeded the longest one, not yet taken.
    paused_streams: u64,
    /// Measured times to first events as fractions of the expected times, not yet taken.
    first_event_ratios: Vec<f64>,
    shares: AccountShares,
}

impl TurnScheduler {
    /// Creates a scheduler for an engine in an unknown state.
    #[must_use]
    pub fn new_ext(options: TurnOptions) -> Self {
        let mut scheduler = Self {
            options,
            slots: AdapterSlots::new(options.adapter_slots),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            next_id: 0,
            engine: EngineState::Unknown,
            base_location: BaseLocation::default(),
            leaving: false,
            newest_versions: BTreeMap::new(),
            prefill_end: Millis(0),
            prefill_rate: PrefillRate::default(),
            pause_guard: PauseGuard::default(),
            paused_streams: 0,
            first_event_ratios: Vec::new(),
            shares: AccountShares::default(),
        };
        scheduler.set_options(options);
        scheduler
    }

    /// Replaces the options; all other state is kept.
    pub fn set_options(&mut self, options: TurnOptions) {
        self.options = options;
        self.slots.set_capacity(options.adapter_slots);
        self.pause_guard.set_part(options.pause_guard);
        if let Some(min) = options.min_loads {
            self.slots.set_min_window(min);
        }
    }

    /// Sets the speed of the engine's peers, which is used for what has not been learned here.
    pub fn set_peer_traits(&mut self, peers: &EngineTraits) {
        self.prefill_rate.set_peer_rate(peers.tokens_per_s);
        self.slots.set_peer_traits(peers);
    }

    /// Resets the state of the engine after its restart or its replacement by another instance.
    pub fn reset(&mut self, now: Millis) {
        self.slots.reset(now);
        self.running.clear();
        self.engine = EngineState::Unknown;
        self.leaving = false;
        self.prefill_rate.reset();
        self.pause_guard.reset();
        self.prefill_end = Millis(0);
    }

    /// Records that the engine does not answer.
    pub fn mark_unreachable(&mut self) {
        self.engine = EngineState::Unknown;
    }

    /// Records that the engine must receive no more requests, known from another source than its report.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Records a declared version of an adapter; older versions are not used any more.
    pub fn declare_version(&mut self, adapter: &str, version: u64) {
        let newest = self.newest_versions.entry(adapter.to_owned()).or_default();
        *newest = (*newest).max(version);
    }

    /// Applies a report of the engine.
    pub fn apply_report(&mut self, report: &EngineReport, now: Millis) {
        self.engine = match (report.base_loaded, report.busy, self.engine) {
            (true, _, _) => EngineState::Ready,
            (false, true, EngineState::LoadingBase { since }) => EngineState::LoadingBase { since },
            (false, true, _) => EngineState::LoadingBase { since: now },
            (false, false, _) => EngineState::NoBase,
        };
        if self.engine == EngineState::NoBase {
            self.base_location = report.base_location;
        }
        self.leaving |= report.leaving;
        self.slots.apply_report(
            report.sequence,
            &report.loaded_adapters,
            &report.loading_adapters,
            now,
        );
        self.match_running(report, now);
    }

    /// Updates the running requests by the report, and drops those that have ended.
    fn match_running(&mut self, report: &EngineReport, now: Millis) {
        let reported_events: BTreeMap<&str, u64> = report
            .runs
            .iter()
            .map(|r| (r.request_id.as_str(), r.events))
            .collect();
        let idle = report.active == 0 && report.queued == 0;
        let is_prefilling = self.outstanding_tokens() > 0;
        let (guard, paused) = (&mut self.pause_guard, &mut self.paused_streams);
        let (prefill_rate, ratios) = (&mut self.prefill_rate, &mut self.first_event_ratios);
        self.running.retain(|id, run| {
            let age = now.since(run.granted);
            match reported_events.get(id.as_str()) {
                Some(events) => {
                    run.reported = true;
                    let was_paused = run.paused;
                    let gap = run.record_events(*events, now);
                    if let Some(gap) = gap.filter(|_| is_prefilling) {
                        guard.record_gap(gap);
                    }
                    *paused += u64::from(run.paused && !was_paused);
                    if *events > 0 && !run.started {
                        run.started = true;
                        prefill_rate.record_first_event(run.prompt_tokens, run.granted, now);
                        ratios.extend(run.first_event_ratio(now));
                    }
                    true
                }
                None if run.reported => false,
                None => !(idle && age > REPORT_DELAY) && age < RUNNING_TIMEOUT,
            }
        });
    }

    /// Enqueues a request. A later [`poll`](Self::poll) returns its outcome.
    pub fn enqueue(&mut self, request: TurnRequest, now: Millis) -> TurnId {
        let turn = TurnId(self.next_id);
        self.next_id += 1;
        if let Some(adapter) = &request.adapter {
            self.slots.record_request(adapter, now);
        }
        let waiting = WaitingRequest {
            request,
            since: now,
        };
        self.waiting.insert(turn, waiting);
        turn
    }

    /// Removes a waiting request; returns `false` if its turn was already granted or refused.
    pub fn cancel(&mut self, turn: TurnId) -> bool {
        self.waiting.remove(&turn).is_some()
    }

    /// Records that the answer of a running request has begun.
    pub fn request_started(&mut self, request_id: &str, now: Millis) {
        if let Some(run) = self.running.get_mut(request_id)
            && !run.started
        {
            run.started = true;
            run.record_events(1, now);
            self.prefill_rate
                .record_first_event(run.prompt_tokens, run.granted, now);
            self.first_event_ratios.extend(run.first_event_ratio(now));
        }
    }

    /// Records that a request has ended at the engine, or never reached it.
    pub fn request_ended(&mut self, request_id: &str) {
        self.running.remove(request_id);
    }

    /// Records the outcome of the outstanding order.
    pub fn order_ended(&mut self, outcome: OrderOutcome, now: Millis) {
        self.slots.order_ended(outcome, now);
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Millis) -> Vec<TurnAction> {
        self.prefill_rate.update(self.outstanding(), now);
        let mut actions = Vec::new();
        self.refuse(now, &mut actions);
        self.grant(now, &mut actions);
        actions.extend(self.order(now));
        actions
    }

    fn order(&mut self, now: Millis) -> Option<TurnAction> {
        if self.leaving || !self.slots.may_order() {
            return None;
        }
        let order = match self.engine {
            EngineState::Unknown | EngineState::LoadingBase { .. } => return None,
            EngineState::NoBase => EngineOrder::LoadBase,
            EngineState::Ready => self.adapter_order(now)?,
        };
        let sequence = self.slots.sequence();
        self.slots.order_sent(order.clone());
        Some(TurnAction::Order { order, sequence })
    }

    fn adapter_order(&self, now: Millis) -> Option<EngineOrder> {
        let in_use: BTreeSet<&str> = self.adapters_in_use();
        let requested: BTreeSet<&str> = self
            .waiting
            .values()
            .filter_map(|w| w.request.adapter.as_deref())
            .collect();
        self.in_order(now).into_iter().find_map(|turn| {
            let request = &self.waiting[&turn].request;
            let adapter = request.adapter.as_deref()?;
            if self.usable(adapter, request.min_version).is_some() {
                return None;
            }
            let version = self.oldest_sufficient(adapter, request.min_version);
            self.slots
                .order_for(adapter, version, &in_use, &requested, now)
        })
    }

    /// Loaded version of an adapter, if it is sufficient and may be used now.
    fn usable(&self, adapter: &str, min_version: u64) -> Option<u64> {
        let loaded = self.slots.usable(adapter)?;
        (loaded >= self.oldest_sufficient(adapter, min_version)).then_some(loaded)
    }

    /// Oldest version of an adapter that may be used: the requested or the newest declared one.
    fn oldest_sufficient(&self, adapter: &str, min_version: u64) -> u64 {
        let newest = self
            .newest_versions
            .get(adapter)
            .copied()
            .unwrap_or_default();
        newest.max(min_version)
    }

    fn adapters_in_use(&self) -> BTreeSet<&str> {
        self.running
            .values()
            .filter_map(|r| r.adapter.as_deref())
            .collect()
    }

    /// Prompt tokens of running requests without a first event.
    fn outstanding_tokens(&self) -> u64 {
        self.outstanding().map_or(0, |o| o.tokens)
    }

    /// Running requests without a first event.
    fn outstanding(&self) -> Option<Outstanding> {
        let unstarted = self.running.values().filter(|r| !r.started);
        unstarted.fold(None, |sum: Option<Outstanding>, run| {
            let since = sum.map_or(run.granted, |s| s.since.min(run.granted));
            let tokens = sum.map_or(0, |s| s.tokens) + u64::from(run.prompt_tokens);
            Some(Outstanding { tokens, since })
        })
    }

    /// Expected time of the prefill of `tokens`. It is 0 while the prefill rate is unknown, so that no
    /// request is refused because of a guess.
    fn prefill_time(&self, tokens: u64) -> Millis {
        let rate = self.max_rate();
        if rate == 0 {
            return Millis(0);
        }
        Millis(tokens * 1_000 / rate)
    }

    /// Prompt tokens per second that the engine is given at most; 0 while the prefill rate is unknown.
    fn max_rate(&self) -> u64 {
        to_integer(self.prefill_rate.tokens_per_second().unwrap_or_default() * MAX_PREFILL_RATIO)
    }

    /// Takes the ratios of measured to expected time to the first event, as expected when the turn was
    /// granted, for all first events since the last call.
    pub fn take_first_event_ratios(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.first_event_ratios)
    }

    /// Takes the number of streams whose pauses have exceeded the longest one since the last call.
    pub fn take_paused_streams(&mut self) -> u64 {
        std::mem::take(&mut self.paused_streams)
    }

    /// Number of requests that were granted a turn and have not ended.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.running.len()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate far below 2^52"
)]
fn to_integer(rate: f64) -> u64 {
    rate as u64
}
