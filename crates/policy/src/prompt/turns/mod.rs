//! Turns at one engine: who goes, who waits, who is refused.

use std::collections::{BTreeMap, BTreeSet};

mod admit;
mod figures;
mod run;
mod types;

use pumicecleat_types::{EngineTraits, Millis};

use super::pace::{Pace, Unread};
use super::places::{EngineOrder, OrderOutcome, Places};
use run::Run;
pub use types::{
    BaseLoadTimes, BaseLocation, EngineReport, ReportedRun, TurnAction, TurnId, TurnOptions,
    TurnRequest,
};

/// Time for which prompts are handed to the engine ahead of their reading: a usual prompt's, and what
/// the way of a turn takes. More takes the order out of our hands: a request that has little time left
/// waits behind all that was handed over. Less leaves the engine idle for the way of a turn, some 40 ms.
const AHEAD: Millis = Millis(150);

/// Part of an engine's time that prompts may take. Each step of an engine that reads takes a piece
/// of a prompt as well: a stream gets a token in 117 ms, and in 11 ms where none is read. Without a
/// rest streams run into their callers' deadlines, and hold their adapters' places all the while.
const READING: f64 = 0.85;

/// Prompts that are out at once before it is known how fast the engine reads: one that is read, and
/// one behind it.
const BLIND: usize = 2;

/// Time after which a request that nobody speaks of any more counts as ended: longer than any
/// stream of the deployments lasts.
const FORGET: Millis = Millis(20_000);

/// Time that a request may take to show up in the engine's report.
const SHOWN: Millis = Millis(1_500);

#[derive(Clone, Debug)]
struct Waiting {
    request: TurnRequest,
    since: Millis,
}

/// How far an engine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// Does not answer.
    Unknown,
    /// Holds no base model.
    Empty,
    /// Loads its base model.
    Loading {
        /// Since then.
        since: Millis,
    },
    /// Holds its base model.
    Ready,
}

/// Turns at one engine; see the module.
#[derive(Clone, Debug)]
pub struct TurnScheduler {
    options: TurnOptions,
    places: Places,
    waiting: BTreeMap<TurnId, Waiting>,
    runs: BTreeMap<String, Run>,
    next: u64,
    engine: Condition,
    /// Where the weights of its base model were when it had to load it.
    copy: BaseLocation,
    leaving: bool,
    newest: BTreeMap<String, u64>,
    /// When the engine will have read what was handed over, with the rest that is due after it.
    read: Millis,
    pace: Pace,
    /// First events met, in parts of the time expected, that nobody has taken yet.
    misses: Vec<f64>,
}

impl TurnScheduler {
    /// Turns at an engine of which nothing is known.
    #[must_use]
    pub fn new_ext(options: TurnOptions) -> Self {
        Self {
            options,
            places: Places::new(options.adapter_slots),
            waiting: BTreeMap::new(),
            runs: BTreeMap::new(),
            next: 0,
            engine: Condition::Unknown,
            copy: BaseLocation::default(),
            leaving: false,
            newest: BTreeMap::new(),
            read: Millis(0),
            pace: Pace::default(),
            misses: Vec::new(),
        }
    }

    /// Takes new options; what is held stays.
    pub fn set_options(&mut self, options: TurnOptions) {
        self.options = options;
        self.places.resize(options.adapter_slots);
    }

    /// Takes in how fast the engine's peers work.
    pub fn set_peer_traits(&mut self, peers: &EngineTraits) {
        self.pace.hint(peers.rate);
        self.places.hint(peers);
    }

    /// Another instance stands in the engine's place: all that was known of it is void.
    pub fn reset(&mut self, now: Millis) {
        self.places.reset(now);
        self.runs.clear();
        self.engine = Condition::Unknown;
        self.leaving = false;
        self.pace.reset();
        self.read = Millis(0);
    }

    /// The engine does not answer.
    pub fn mark_unreachable(&mut self) {
        self.engine = Condition::Unknown;
    }

    /// The engine must get no more requests, by another sign than its report.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Newest version of an adapter.
    pub fn declare_version(&mut self, adapter: &str, version: u64) {
        let known = self.newest.entry(adapter.to_owned()).or_default();
        *known = (*known).max(version);
    }

    /// Takes in what the engine reports.
    pub fn apply_report(&mut self, state: &EngineReport, now: Millis) {
        self.engine = match (state.base_loaded, state.busy, self.engine) {
            (true, _, _) => Condition::Ready,
            (false, true, Condition::Loading { since }) => Condition::Loading { since },
            (false, true, _) => Condition::Loading { since: now },
            (false, false, _) => Condition::Empty,
        };
        if self.engine == Condition::Empty {
            self.copy = state.base_location;
        }
        self.leaving |= state.leaving;
        self.places.observe(
            state.sequence,
            &state.adapters,
            &state.loading_adapters,
            now,
        );
        self.match_runs(state, now);
    }

    fn match_runs(&mut self, state: &EngineReport, now: Millis) {
        let seen: BTreeMap<&str, u64> = state
            .runs
            .iter()
            .map(|r| (r.request_id.as_str(), r.events))
            .collect();
        let idle = state.active == 0 && state.queued == 0;
        let (pace, misses) = (&mut self.pace, &mut self.misses);
        self.runs.retain(|id, run| {
            let age = now.since(run.at);
            match seen.get(id.as_str()) {
                Some(events) => {
                    run.shown = true;
                    if *events > 0 && !run.started {
                        run.started = true;
                        pace.read(run.tokens, run.at, now);
                        misses.extend(run.miss(now));
                    }
                    true
                }
                None if run.shown => false,
                None => !(idle && age > SHOWN) && age < FORGET,
            }
        });
    }

    /// Takes a request in, to be answered by a later [`poll`](Self::poll).
    pub fn enqueue(&mut self, request: TurnRequest, now: Millis) -> TurnId {
        let turn = TurnId(self.next);
        self.next += 1;
        if let Some(adapter) = &request.adapter {
            self.places.hit(adapter, now);
        }
        let waiting = Waiting {
            request,
            since: now,
        };
        self.waiting.insert(turn, waiting);
        turn
    }

    /// The request does not wait any more; `false` if its turn was given or refused.
    pub fn cancel(&mut self, turn: TurnId) -> bool {
        self.waiting.remove(&turn).is_some()
    }

    /// Its answer has begun.
    pub fn request_started(&mut self, request: &str, now: Millis) {
        if let Some(run) = self.runs.get_mut(request)
            && !run.started
        {
            run.started = true;
            self.pace.read(run.tokens, run.at, now);
            self.misses.extend(run.miss(now));
        }
    }

    /// It has ended at the engine, or never reached it.
    pub fn request_ended(&mut self, request: &str) {
        self.runs.remove(request);
    }

    /// The exchange of the order that is out has ended.
    pub fn order_ended(&mut self, end: OrderOutcome, now: Millis) {
        self.places.ended(end, now);
    }

    /// What is to be done now.
    pub fn poll(&mut self, now: Millis) -> Vec<TurnAction> {
        self.pace.look(self.out(), now);
        let mut actions = Vec::new();
        self.refuse(now, &mut actions);
        self.go(now, &mut actions);
        actions.extend(self.order(now));
        actions
    }

    /// Requests that wait, in the order of their turns: those that can still be in time before those
    /// that are late in any case, which lose nothing more by a longer wait. Of the first, the one whose
    /// time is over first, then by rank; of the others by rank and age. Answers the backlog after a crash
    /// or a loss of power: 0.852 of what was owed was earned over 60 played days of load and trouble, and
    /// 0.842 without it. That rank decides only where somebody must be late keeps the last one from
    /// waiting behind all others all the time.
    fn in_order(&self, now: Millis) -> Vec<TurnId> {
        let mut order: Vec<(bool, Millis, u8, TurnId)> = self
            .waiting
            .iter()
            .map(|(turn, w)| {
                let late = self.is_late(w, now);
                let due = if late {
                    Millis(0)
                } else {
                    w.since + w.request.objective_left
                };
                (late, due, w.request.priority, *turn)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, _, turn)| turn).collect()
    }

    /// Whether the first event would be late even if the request had its turn now.
    fn is_late(&self, waiting: &Waiting, now: Millis) -> bool {
        let read = self.read_time(u64::from(waiting.request.prompt_tokens));
        now.since(waiting.since) + read > waiting.request.objective_left
    }

    fn go(&mut self, now: Millis, actions: &mut Vec<TurnAction>) {
        if self.leaving || self.engine != Condition::Ready {
            return;
        }
        for turn in self.in_order(now) {
            if self.is_full(now) {
                return;
            }
            let request = self.waiting[&turn].request.clone();
            let version = match &request.adapter {
                None => None,
                Some(adapter) => match self.usable(adapter, request.min_version) {
                    None => continue,
                    version => version,
                },
            };
            self.hand(request.prompt_tokens, now);
            if let Some(waiting) = self.waiting.remove(&turn) {
                let request = waiting.request;
                let run = Run {
                    adapter: request.adapter,
                    tokens: request.prompt_tokens,
                    at: now,
                    due: self.read,
                    started: false,
                    shown: false,
                };
                self.runs.insert(request.request_id, run);
            }
            actions.push(TurnAction::Grant { turn, version });
        }
    }

    /// Whether the engine has as much to do as it should be given.
    fn is_full(&self, now: Millis) -> bool {
        let blind = self.pace.rate().is_none();
        self.read > now + AHEAD
            || self.runs.len() >= self.options.max_batch as usize
            || (blind && self.runs.values().filter(|r| !r.started).count() >= BLIND)
    }

    fn order(&mut self, now: Millis) -> Option<TurnAction> {
        if self.leaving || !self.places.may_order() {
            return None;
        }
        let order = match self.engine {
            Condition::Unknown | Condition::Loading { .. } => return None,
            Condition::Empty => EngineOrder::LoadBase,
            Condition::Ready => self.adapter_order(now)?,
        };
        let sequence = self.places.sequence();
        self.places.ordered(order.clone());
        Some(TurnAction::Order { order, sequence })
    }

    fn adapter_order(&self, now: Millis) -> Option<EngineOrder> {
        let in_use: BTreeSet<&str> = self.in_use();
        let wanted: BTreeSet<&str> = self
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
            let version = self.oldest(adapter, request.min_version);
            self.places
                .order_for(adapter, version, &in_use, &wanted, now)
        })
    }

    /// Version held that will do, if requests may use it now.
    fn usable(&self, adapter: &str, version: u64) -> Option<u64> {
        let held = self.places.usable(adapter)?;
        (held >= self.oldest(adapter, version)).then_some(held)
    }

    /// Oldest version of an adapter that will do.
    fn oldest(&self, adapter: &str, version: u64) -> u64 {
        let known = self.newest.get(adapter).copied().unwrap_or_default();
        known.max(version)
    }

    fn in_use(&self) -> BTreeSet<&str> {
        self.runs
            .values()
            .filter_map(|r| r.adapter.as_deref())
            .collect()
    }

    /// Prompt tokens handed to the engine and not read yet.
    fn unread(&self) -> u64 {
        self.out().map_or(0, |out| out.tokens)
    }

    /// Prompts handed to the engine and not read yet.
    fn out(&self) -> Option<Unread> {
        let unread = self.runs.values().filter(|r| !r.started);
        unread.fold(None, |sum: Option<Unread>, run| {
            let since = sum.map_or(run.at, |s| s.since.min(run.at));
            let tokens = sum.map_or(0, |s| s.tokens) + u64::from(run.tokens);
            Some(Unread { tokens, since })
        })
    }

    /// Time in which the engine will have read `tokens`; 0 before it is known how fast it reads, so
    /// that nothing is refused for a guess.
    fn read_time(&self, tokens: u64) -> Millis {
        let rate = self.rate();
        if rate == 0 {
            return Millis(0);
        }
        Millis(tokens * 1_000 / rate)
    }

    /// Prompt tokens that the engine is given in a second at most; 0 while that is not known.
    fn rate(&self) -> u64 {
        whole(self.pace.rate().unwrap_or_default() * READING)
    }

    fn hand(&mut self, tokens: u32, now: Millis) {
        self.read = self.read.max(now) + self.read_time(u64::from(tokens));
    }

    /// Times to first events since the last call, in parts of what was expected when the prompts were
    /// handed over.
    pub fn take_first_event_ratios(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.misses)
    }

    /// Requests that have had their turn and have not ended.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.runs.len()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate far below 2^52"
)]
fn whole(rate: f64) -> u64 {
    rate as u64
}
