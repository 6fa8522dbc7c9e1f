//! The small world and its parts.

use std::collections::BTreeMap;
use std::rc::Rc;

use pumicecleat_ledger::{Attempt, Digest, Key, Limits, Owner};
use pumicecleat_types::{CallerId, Millis, VmId};

use crate::log::{Batch, Log};
use crate::side::Side;

/// Window of the promise.
pub const WINDOW: u64 = 8;
/// How long the log keeps records.
pub const KEPT: u64 = 10;
/// How long a caller waits.
pub const WAIT: u64 = 2;
/// Step of the clock past a deadline.
pub const LATE: u64 = 3;
/// Step of the clock past most of a window.
pub const LONG: u64 = 7;
/// Step of the clock past window and trim.
pub const GONE: u64 = LATE + LONG;

const VMS: [&str; 2] = ["a", "b"];
const SHORT_WINDOW: u64 = 2;
const SHORT_KEPT: u64 = 3;

/// Call that a caller may make.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub body: u8,
}

/// A mistake of the driver, or of its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Slip {
    None,
    /// Sends when the append's reply comes, before reading back.
    SendUnread,
    /// Sends the open intents of its predecessor after a restart.
    ResendOpen,
    /// Reads from the log's end after a restart.
    ReadFromEnd,
    /// Forgets keys before the window's end.
    ShortWindow,
    /// The log trims within the window.
    ShortLog,
    /// Abandons another side's intent once its deadline has passed, as if it were a lease.
    TakeOver,
    /// Checks the deadline, then sends any time later.
    SendLate,
    /// Says "not run" when a reply is lost, without voiding.
    DenyOnCut,
    /// The entry says "not run" when a side dies.
    DenyOnCrash,
    /// Says "not run" when an answer is slow.
    DenySent,
    /// Records an answer of its own making when the answer is lost.
    InventAnswer,
    /// Leaves the body out of the digest.
    BlankDigest,
    /// Waits for ever for a lost append.
    NeverGiveUp,
    /// Never appends owed records.
    ForgetOwed,
    /// Takes back a send of which bytes had left.
    MissSent,
    /// Closes the stream while a call is under way, and says "not run".
    CloseBusy,
    /// Closes the stream while an abandon or an outcome is owed.
    CloseOwing,
    /// Closes the stream while an own intent stands there unread.
    CloseUnread,
    /// Opens the stream again under the name of the opening before.
    ReopenAlike,
}

/// Calls and the mistake.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub calls: &'static [Spec],
    pub slip: Slip,
    /// Invariant to check, or `None` for all.
    pub only: Option<&'static str>,
}

/// Faults left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Append replies lost.
    pub cuts: u8,
    /// Crashes.
    pub crashes: u8,
    /// Closings of the stream.
    pub closes: u8,
    /// Answers lost.
    pub losses: u8,
    /// Outages.
    pub outages: u8,
    /// Steps of the clock, in this order.
    pub ticks: &'static [u64],
    /// Trims.
    pub trims: u8,
    /// Sends of which no byte left.
    pub misses: u8,
}

impl Budget {
    pub const NONE: Self = Self {
        cuts: 0,
        crashes: 0,
        closes: 0,
        losses: 0,
        outages: 0,
        ticks: &[],
        trims: 0,
        misses: 0,
    };
    pub const CUT: Self = Self {
        cuts: 1,
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
    pub const LOSS: Self = Self {
        losses: 1,
        ..Self::NONE
    };

    pub const fn crashes(self, crashes: u8) -> Self {
        Self { crashes, ..self }
    }

    pub const fn closes(self, closes: u8) -> Self {
        Self { closes, ..self }
    }

    pub const fn losses(self, losses: u8) -> Self {
        Self { losses, ..self }
    }

    pub const fn ticks(self, ticks: &'static [u64]) -> Self {
        Self { ticks, ..self }
    }

    pub const fn trims(self, trims: u8) -> Self {
        Self { trims, ..self }
    }
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    NotRun,
    Unknown,
    /// Answer of the call given.
    Ran(u8),
    /// Recorded answer of the call given.
    Replay(u8),
}

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    New,
    Open { side: usize, attempt: Attempt },
    Told(Told),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    pub body: u8,
    pub progress: Progress,
}

/// Something that the upstream did.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Effect {
    pub call: usize,
    pub body: u8,
    pub attempt: Attempt,
    pub at: u64,
}

/// What never changes in a search.
#[derive(Debug)]
pub struct Fixed {
    pub slip: Slip,
    pub only: Option<&'static str>,
    pub key: Key,
    pub limits: Limits,
    pub kept: u64,
}

#[derive(Clone, Debug)]
pub struct World {
    pub fixed: Rc<Fixed>,
    pub clock: u64,
    pub log: Rc<Log>,
    pub sides: Vec<Rc<Side>>,
    /// Appends that their side no longer waits for, but that may still take effect.
    pub strays: Vec<Batch>,
    pub calls: Vec<Request>,
    /// Call of each attempt ever claimed.
    pub attempts: BTreeMap<Attempt, usize>,
    pub effects: Vec<Effect>,
    pub budget: Budget,
}

impl World {
    pub fn new(scenario: &Scenario, budget: Budget) -> Self {
        let log = Log::new();
        let fixed = Fixed::new(scenario);
        let side = |vm| Rc::new(Side::new(owner(vm, 0), fixed.limits, log.span()));
        Self {
            clock: 0,
            sides: VMS.into_iter().map(side).collect(),
            log: Rc::new(log),
            strays: Vec::new(),
            calls: scenario.calls.iter().copied().map(request).collect(),
            attempts: BTreeMap::new(),
            effects: Vec::new(),
            budget,
            fixed: Rc::new(fixed),
        }
    }

    pub fn slips(&self, slip: Slip) -> bool {
        self.fixed.slip == slip
    }

    pub fn digest(&self, body: u8) -> Digest {
        if self.slips(Slip::BlankDigest) {
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

    pub fn tell(&mut self, call: usize, told: Told) {
        self.calls[call].progress = Progress::Told(told);
    }

    /// Attempt under way of a call.
    pub fn attempt(&self, call: usize) -> Option<(usize, &Attempt)> {
        match &self.calls[call].progress {
            Progress::Open { side, attempt } => Some((*side, attempt)),
            Progress::New | Progress::Told(_) => None,
        }
    }
}

impl Fixed {
    fn new(scenario: &Scenario) -> Self {
        let slip = scenario.slip;
        let short = slip == Slip::ShortWindow;
        let window = if short { SHORT_WINDOW } else { WINDOW };
        let kept = if slip == Slip::ShortLog {
            SHORT_KEPT
        } else {
            KEPT
        };
        Self {
            slip,
            only: scenario.only,
            key: Key::parse(&CallerId::from("c"), "k").unwrap(),
            limits: Limits::new(Millis(window), Millis(0), Millis(KEPT)).unwrap(),
            kept,
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

fn request(spec: Spec) -> Request {
    Request {
        body: spec.body,
        progress: Progress::New,
    }
}
