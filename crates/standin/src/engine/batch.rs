//! Continuous batching: what waits, what runs, and one token for each that runs a step.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use async_channel::Sender;

use super::chat::Span;
use super::piece::{Count, Event, Finish, Head, Piece};
use super::text::Source;

/// A request in the engine.
pub(crate) struct Run {
    /// LoRA that runs it.
    pub(crate) lora: String,
    /// Priority, lower first.
    pub(crate) priority: i64,
    /// Names of its answer.
    pub(crate) head: Rc<Head>,
    /// Source of its tokens.
    pub(crate) source: Source,
    /// Tokens of its answer.
    pub(crate) span: Span,
    /// Tokens used; those of the answer so far.
    pub(crate) count: Count,
    /// Tokens after which it is cut, if it is to be.
    pub(crate) cut_at: Option<u64>,
    /// Its answer.
    pub(crate) out: Sender<Piece>,
}

/// How a request left the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Left {
    /// Whole.
    Done,
    /// Its caller went away.
    Aborted,
    /// Cut, or dropped by a restart.
    Broken,
}

impl Run {
    /// Its caller went away.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.out.is_closed()
    }

    /// Makes one token; tells whether the run left.
    fn step(&mut self, die_at: &mut Option<u64>) -> Option<Left> {
        if self.is_abandoned() {
            return Some(Left::Aborted);
        }
        if self.cut_at == Some(self.count.answer) {
            self.send(Event::Cut);
            return Some(Left::Broken);
        }
        let at = self.span.from + self.count.answer;
        if at < self.span.end {
            self.count.answer += 1;
            self.send(Event::Token(self.source.token(at)));
        }
        if die_at.is_some_and(|n| self.count.answer >= n) {
            *die_at = None;
            return Some(Left::Broken);
        }
        self.end_if_whole()
    }

    fn end_if_whole(&self) -> Option<Left> {
        let at = self.span.from + self.count.answer;
        if at < self.span.end || self.cut_at == Some(self.count.answer) {
            return None;
        }
        let finish = if self.span.limited {
            Finish::Length
        } else {
            Finish::Stop
        };
        self.send(Event::End(finish, self.count));
        Some(Left::Done)
    }

    fn send(&self, event: Event) {
        let head = Rc::clone(&self.head);
        // A caller that went away since is noticed at the next step.
        let _ = self.out.try_send(Piece { head, event });
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: i64,
    arrival: u64,
}

/// What a step did.
pub(crate) struct Stepped {
    /// Tokens made.
    pub(crate) tokens: u64,
    /// Requests that left.
    pub(crate) gone: Vec<(Run, Left)>,
}

/// Requests in the engine.
pub(crate) struct Batch {
    size: usize,
    arrivals: u64,
    waiting: BTreeMap<Place, Run>,
    running: Vec<Run>,
}

impl Batch {
    /// Batch of at most `size` requests at once.
    pub(crate) fn new(size: usize) -> Self {
        Self {
            size,
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, run: Run) {
        let place = Place {
            priority: run.priority,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        self.waiting.insert(place, run);
    }

    /// Nothing runs or waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Requests that run.
    pub(crate) fn running(&self) -> &[Run] {
        &self.running
    }

    /// Requests that wait, the next first.
    pub(crate) fn waiting(&self) -> impl ExactSizeIterator<Item = &Run> {
        self.waiting.values()
    }

    /// Fills free places by priority, then arrival; gives the words of the prompts to be read.
    pub(crate) fn admit(&mut self) -> u64 {
        let mut words = 0;
        while self.running.len() < self.size
            && let Some((_, run)) = self.waiting.pop_first()
        {
            words += run.count.prompt - run.count.cached;
            self.running.push(run);
        }
        words
    }

    /// One token for each that runs.
    pub(crate) fn step(&mut self, die_at: &mut Option<u64>) -> Stepped {
        let mut tokens = 0;
        let mut gone = Vec::new();
        let mut going = Vec::with_capacity(self.running.len());
        for mut run in self.running.drain(..) {
            let before = run.count.answer;
            let left = run.step(die_at);
            tokens += run.count.answer - before;
            match left {
                Some(left) => gone.push((run, left)),
                None => going.push(run),
            }
        }
        self.running = going;
        let abandoned = self.waiting.extract_if(.., |_, run| run.is_abandoned());
        gone.extend(abandoned.map(|(_, run)| (run, Left::Aborted)));
        Stepped { tokens, gone }
    }

    /// Takes everything out.
    pub(crate) fn clear(&mut self) -> Vec<Run> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut all = std::mem::take(&mut self.running);
        all.extend(waiting.into_values());
        all
    }

    /// A request uses the LoRA.
    pub(crate) fn uses(&self, lora: &str) -> bool {
        let mut all = self.running.iter().chain(self.waiting.values());
        all.any(|r| r.lora == lora)
    }

    /// `LoRAs` of the running requests.
    pub(crate) fn running_loras(&self) -> BTreeSet<&str> {
        self.running.iter().map(|r| r.lora.as_str()).collect()
    }

    /// `LoRAs` of the waiting requests.
    pub(crate) fn waiting_loras(&self) -> BTreeSet<&str> {
        self.waiting.values().map(|r| r.lora.as_str()).collect()
    }
}
