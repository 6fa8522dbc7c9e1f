//! A model engine: reads prompts one after the other, streams events, holds and loads adapters.

use std::collections::VecDeque;

use pumicecleat_policy::{EngineOrder, EngineReport, OrderOutcome, ReportedRun};
use pumicecleat_types::Millis;

use super::STEP;

/// What an engine can do. The decisions under test are told none of it but places and batch.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    /// Prompt tokens read in a second.
    pub rate: u64,
    /// Places for adapters.
    pub places: u32,
    /// Time of a load from the weight store, ms.
    pub store: u64,
    /// Time of a load from the host's memory, ms.
    pub host: u64,
    /// Adapters that the host keeps beside those held.
    pub keeps: usize,
    /// Time between two events of a stream where nothing is read, ms.
    pub step: u64,
    /// The same beside a prompt that is read, ms.
    pub slow: u64,
}

pub struct Run {
    pub id: String,
    pub adapter: String,
    pub unread: f64,
    pub events: u64,
    pub made: u64,
    next: u64,
}

/// State of an engine.
pub struct Engine {
    pub sheet: Sheet,
    pub runs: Vec<Run>,
    held: Vec<String>,
    /// Adapters on their way, what is left of their load, ms, and whether the store gives it.
    loading: Vec<(String, f64, bool)>,
    host: VecDeque<String>,
    sequence: u64,
    /// Prompt tokens read in all.
    pub read: f64,
    /// Loads from the weight store.
    pub fetched: usize,
}

impl Engine {
    pub fn new(sheet: Sheet) -> Self {
        Self {
            sheet,
            runs: Vec::new(),
            held: Vec::new(),
            loading: Vec::new(),
            host: VecDeque::new(),
            sequence: 0,
            read: 0.0,
            fetched: 0,
        }
    }

    /// Starts again under another instance: it knows nothing of before.
    pub fn restart(&mut self) {
        *self = Self::new(self.sheet);
    }

    pub fn send(&mut self, id: &str, adapter: &str, tokens: u32, events: u64) {
        assert!(self.holds(adapter), "{adapter} is not held");
        self.runs.push(Run {
            id: id.to_owned(),
            adapter: adapter.to_owned(),
            unread: f64::from(tokens),
            events,
            made: 0,
            next: 0,
        });
    }

    fn holds(&self, adapter: &str) -> bool {
        self.held.iter().any(|a| a == adapter)
    }

    /// One step; gives the ids whose first event was made, and of those that ended.
    /// `stretch` is how many times longer loads from the store take now.
    pub fn step(&mut self, now: u64, stretch: f64) -> (Vec<String>, Vec<String>) {
        let sheet = self.sheet;
        let done: Vec<String> = self.take_loaded(stretch);
        self.held.extend(done);
        let reading = self.runs.iter().any(|r| r.unread > 0.0);
        let mut budget = sheet.rate as f64 * STEP as f64 / 1_000.0;
        let mut first = Vec::new();
        for run in &mut self.runs {
            if run.unread > 0.0 {
                let part = run.unread.min(budget);
                run.unread -= part;
                budget -= part;
                self.read += part;
                if run.unread <= 0.0 {
                    run.made = 1;
                    run.next = now + sheet.step;
                    first.push(run.id.clone());
                }
            } else if now >= run.next {
                run.made += 1;
                run.next = now + if reading { sheet.slow } else { sheet.step };
            }
        }
        let ended = self.runs.iter().filter(|r| r.made >= r.events);
        let ended: Vec<String> = ended.map(|r| r.id.clone()).collect();
        self.runs.retain(|r| r.made < r.events);
        (first, ended)
    }

    fn take_loaded(&mut self, stretch: f64) -> Vec<String> {
        for (_, left, fetched) in &mut self.loading {
            *left -= STEP as f64 / if *fetched { stretch } else { 1.0 };
        }
        let done = self.loading.extract_if(.., |l| l.1 <= 0.0);
        done.map(|(name, ..)| name).collect()
    }

    /// Loads from the store under way.
    pub fn fetching(&self) -> usize {
        self.loading.iter().filter(|l| l.2).count()
    }

    /// Carries an order out at once, as engines do for adapters.
    pub fn order(&mut self, order: &EngineOrder, sequence: u64) -> OrderOutcome {
        if sequence != self.sequence {
            return OrderOutcome::Conflict;
        }
        match order {
            EngineOrder::LoadBase => OrderOutcome::Done,
            EngineOrder::Load { adapter, .. } => self.load(adapter),
            EngineOrder::Unload { adapter } => self.unload(adapter),
        }
    }

    fn load(&mut self, adapter: &str) -> OrderOutcome {
        assert!(!self.holds(adapter), "{adapter} is loaded twice");
        let taken = self.held.len() + self.loading.len();
        assert!(taken < self.sheet.places as usize, "no place for {adapter}");
        let kept = self.host.iter().position(|a| a == adapter);
        let span = if let Some(at) = kept {
            self.host.remove(at);
            self.sheet.host
        } else {
            self.fetched += 1;
            self.sheet.store
        };
        let fetched = kept.is_none();
        self.loading
            .push((adapter.to_owned(), span as f64, fetched));
        self.sequence += 1;
        OrderOutcome::Accepted
    }

    fn unload(&mut self, adapter: &str) -> OrderOutcome {
        let used = self.runs.iter().any(|r| r.adapter == adapter);
        assert!(!used, "{adapter} is in use");
        self.held.retain(|a| a != adapter);
        self.host.push_front(adapter.to_owned());
        self.host.truncate(self.sheet.keeps);
        self.sequence += 1;
        OrderOutcome::Done
    }

    pub fn report(&self) -> EngineReport {
        let named = |name: &String| (name.clone(), 1);
        let started = self.runs.iter().filter(|r| r.made > 0);
        let seen = started.map(|r| ReportedRun {
            request_id: r.id.clone(),
            events: r.made,
        });
        EngineReport {
            sequence: self.sequence,
            base_loaded: true,
            adapters: self.held.iter().map(named).collect(),
            loading_adapters: self.loading.iter().map(|l| named(&l.0)).collect(),
            runs: seen.collect(),
            active: self.runs.len() as u32,
            ..EngineReport::default()
        }
    }
}

/// Time of the model as the decisions see it.
pub fn millis(now: u64) -> Millis {
    Millis(now)
}
