//! State of the model, its mutations and its fault budget.

use std::collections::BTreeMap;
use std::rc::Rc;

use pumicecleat_ledger::{Attempt, Digest, Key, Limits, Owner};
use pumicecleat_types::{CallerId, Millis, VmId};

use crate::log::{Batch, Log};
use crate::side::Side;

/// Window in which a key has one effect.
pub const WINDOW: u64 = 8;
/// How long the log keeps records.
pub const LOG_RETENTION: u64 = 10;
/// How long a caller waits.
pub const CALL_TIMEOUT: u64 = 2;
/// Clock step past a call's deadline.
pub const PAST_DEADLINE: u64 = 3;
/// Clock step past most of a window.
pub const MOST_OF_WINDOW: u64 = 7;
/// Clock step past the window and the log's retention.
pub const PAST_RETENTION: u64 = PAST_DEADLINE + MOST_OF_WINDOW;

const VMS: [&str; 2] = ["a", "b"];
const SHORT_WINDOW: u64 = 2;
const SHORT_RETENTION: u64 = 3;

/// Call that a caller may make.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec {
    pub body: u8,
}

/// A deliberate bug in the driver or its settings, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    /// Sends when the append is acknowledged, before the intent is read back.
    SendBeforeReadBack,
    /// After a restart, sends the open intents of the previous incarnation.
    ResendAfterRestart,
    /// After a restart, reads from the log's end.
    ReadFromEnd,
    /// Forgets keys before their window ends.
    ShortWindow,
    /// The log trims records within the window.
    ShortRetention,
    /// Abandons another side's intent after its deadline, as if it were an expired lease.
    AbandonForeign,
    /// Checks the deadline, but sends at any later time.
    SendAfterDeadline,
    /// Answers "not run" when an append's reply is lost, without abandoning the attempt.
    DenyOnLostReply,
    /// The entry answers "not run" when a side crashes.
    DenyOnCrash,
    /// Answers "not run" when a response is slow.
    DenySent,
    /// Records an invented response when the response is lost.
    InventResponse,
    /// Computes the digest without the body.
    DigestWithoutBody,
    /// Never abandons an attempt whose append was lost.
    NeverAbandon,
    /// Never appends pending records.
    DropPendingRecords,
    /// Reverts a send although the upstream received the call.
    RevertRealSend,
    /// Closes the stream while calls are in progress, and answers "not run".
    CloseWithOpenCalls,
    /// Closes the stream while an abandon or an outcome is pending.
    CloseWithPendingRecords,
    /// Closes the stream before an own intent in it was read back.
    CloseBeforeReadBack,
    /// Opens the stream again as the same owner as before.
    ReopenAsSameOwner,
}

/// What to search: the calls, and a mutation if any.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub calls: &'static [CallSpec],
    pub mutation: Mutation,
    /// Invariant to check, or `None` for all.
    pub only_invariant: Option<&'static str>,
}

/// Numbers of faults that may still happen, and clock steps still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Lost replies to appends.
    pub lost_replies: u8,
    /// Crashes.
    pub crashes: u8,
    /// Closings of the stream.
    pub closes: u8,
    /// Lost responses.
    pub lost_responses: u8,
    /// Outages of the log.
    pub outages: u8,
    /// Clock steps, in order.
    pub clock_steps: &'static [u64],
    /// Trims of the log.
    pub trims: u8,
    /// Sends that fail before a byte left.
    pub failed_sends: u8,
}

impl Budget {
    pub const NONE: Self = Self {
        lost_replies: 0,
        crashes: 0,
        closes: 0,
        lost_responses: 0,
        outages: 0,
        clock_steps: &[],
        trims: 0,
        failed_sends: 0,
    };
    pub const LOST_REPLY: Self = Self {
        lost_replies: 1,
        ..Self::NONE
    };
    pub const CRASH: Self = Self {
        crashes: 1,
        ..Self::NONE
    };
    pub const CLOSE: Self = Self {
        closes: 1,
        ..Self::NONE
    };
    pub const LOST_RESPONSE: Self = Self {
        lost_responses: 1,
        ..Self::NONE
    };

    pub const fn crashes(self, crashes: u8) -> Self {
        Self { crashes, ..self }
    }

    pub const fn closes(self, closes: u8) -> Self {
        Self { closes, ..self }
    }

    pub const fn lost_responses(self, lost_responses: u8) -> Self {
        Self {
            lost_responses,
            ..self
        }
    }

    pub const fn clock_steps(self, clock_steps: &'static [u64]) -> Self {
        Self {
            clock_steps,
            ..self
        }
    }

    pub const fn trims(self, trims: u8) -> Self {
        Self { trims, ..self }
    }
}

/// Result that a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallResult {
    NotRun,
    Unknown,
    /// Response of the execution of the given call.
    Ran(u8),
    /// Recorded response of the execution of the given call.
    Replay(u8),
}

/// Progress of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    New,
    Open { side: usize, attempt: Attempt },
    Ended(CallResult),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallState {
    pub body: u8,
    pub progress: Progress,
}

/// An execution by the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Effect {
    pub call: usize,
    pub body: u8,
    pub attempt: Attempt,
    pub at: u64,
}

/// Settings, constant during a search.
#[derive(Debug)]
pub struct Settings {
    pub mutation: Mutation,
    pub only_invariant: Option<&'static str>,
    pub key: Key,
    pub limits: Limits,
    pub log_retention: u64,
}

#[derive(Clone, Debug)]
pub struct State {
    pub settings: Rc<Settings>,
    pub clock: u64,
    pub log: Rc<Log>,
    pub sides: Vec<Rc<Side>>,
    /// Appends that no side waits for any more, but that may still take effect.
    pub orphaned_appends: Vec<Batch>,
    pub calls: Vec<CallState>,
    /// Call of each attempt ever claimed.
    pub attempts: BTreeMap<Attempt, usize>,
    pub effects: Vec<Effect>,
    pub budget: Budget,
}

impl State {
    pub fn new(scenario: &Scenario, budget: Budget) -> Self {
        let log = Log::new();
        let settings = Settings::new(scenario);
        let side = |vm| Rc::new(Side::new(owner(vm, 0), settings.limits, log.range()));
        Self {
            clock: 0,
            sides: VMS.into_iter().map(side).collect(),
            log: Rc::new(log),
            orphaned_appends: Vec::new(),
            calls: scenario.calls.iter().copied().map(new_call).collect(),
            attempts: BTreeMap::new(),
            effects: Vec::new(),
            budget,
            settings: Rc::new(settings),
        }
    }

    pub fn has_mutation(&self, mutation: Mutation) -> bool {
        self.settings.mutation == mutation
    }

    pub fn digest(&self, body: u8) -> Digest {
        if self.has_mutation(Mutation::DigestWithoutBody) {
            digest(0)
        } else {
            digest(body)
        }
    }

    pub fn side(&mut self, side: usize) -> &mut Side {
        Rc::make_mut(&mut self.sides[side])
    }

    pub fn log(&mut self) -> &mut Log {
        Rc::make_mut(&mut self.log)
    }

    pub fn end_call(&mut self, call: usize, result: CallResult) {
        self.calls[call].progress = Progress::Ended(result);
    }

    /// Attempt of a call in progress.
    pub fn attempt(&self, call: usize) -> Option<(usize, &Attempt)> {
        match &self.calls[call].progress {
            Progress::Open { side, attempt } => Some((*side, attempt)),
            Progress::New | Progress::Ended(_) => None,
        }
    }
}

impl Settings {
    fn new(scenario: &Scenario) -> Self {
        let mutation = scenario.mutation;
        let short = mutation == Mutation::ShortWindow;
        let window = if short { SHORT_WINDOW } else { WINDOW };
        let log_retention = if mutation == Mutation::ShortRetention {
            SHORT_RETENTION
        } else {
            LOG_RETENTION
        };
        Self {
            mutation,
            only_invariant: scenario.only_invariant,
            key: Key::parse(&CallerId::from("c"), "k").unwrap(),
            limits: Limits::new(Millis(window), Millis(0), Millis(LOG_RETENTION)).unwrap(),
            log_retention,
        }
    }
}

pub fn owner(vm: &str, incarnation: u64) -> Owner {
    Owner {
        vm: VmId::from(vm),
        incarnation,
    }
}

/// Digest of a body.
pub fn digest(body: u8) -> Digest {
    thread_local! {
        static KNOWN: [Digest; 2] = [Digest::of(&[0]), Digest::of(&[1])];
    }
    KNOWN.with(|known| known[usize::from(body)])
}

fn new_call(spec: CallSpec) -> CallState {
    CallState {
        body: spec.body,
        progress: Progress::New,
    }
}
