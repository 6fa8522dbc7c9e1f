//! Idempotency keys of one service's calls, in parts of which each has a stream of the log.
//!
//! Which part a key is in follows from the key and the number of parts alone. A side opens a part
//! when the first call with a key of it comes, and admits nothing in it before it has read all that
//! stood in its stream then. It closes a part that no call has wanted for a while and to whose
//! stream nothing is owed. Where all keys are in one part, that is open from the start to the end.
//!
//! Any side may have any part open, at once with others: only the order of records in the part's
//! stream decides.
//!
//! `part` is one part; `claim` takes a call through admission, the append of its intent and the
//! wait for it to be read back; `reader` follows the stream; `writer` appends outcomes.

mod claim;
mod dump;
mod part;
mod reader;
mod writer;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{AppendOptions, Log};
use pumicecleat_ledger::{Digest, Key, Limits};
use pumicecleat_net::Timer;
use pumicecleat_ops::Log as EventLog;
use pumicecleat_types::{Millis, Reason, RequestId, ServiceId, VmId};

use crate::state::wall_clock;
pub(crate) use claim::Claim;
pub(crate) use dump::KeysDump;
pub(crate) use part::Hold;
use part::Part;

/// Parts that are read for the first time at once.
const OPENING: usize = 4;
/// Calls that wait for parts to open.
const WAITING: usize = 256;
/// Longest such wait; half of a call's time is left for another side.
const OPEN_SPAN: Millis = Millis(10_000);
const OPEN_PAUSE: Duration = Duration::from_millis(5);
const SECOND: Duration = Duration::from_secs(1);
/// Time between two looks for parts to close.
const SWEEP: Duration = Duration::from_millis(250);

/// Keys of the calls of one service at this side. Clones share them.
#[derive(Clone)]
pub(crate) struct Keys {
    state: Rc<State>,
}

struct State {
    context: KeyContext,
    /// Number of parts.
    parts: u32,
    open: RefCell<BTreeMap<u32, Part>>,
    /// Last incarnation of each part that was closed.
    closed: RefCell<BTreeMap<u32, u64>>,
    /// Calls that wait for a part to open.
    waiting: Cell<usize>,
    /// Appenders that share the service's rate: a side or so for each part.
    sharers: Cell<u32>,
}

/// What keys are kept with.
pub(crate) struct KeyContext {
    pub(crate) service: ServiceId,
    pub(crate) vm: VmId,
    /// Start of this process.
    pub(crate) incarnation: u64,
    pub(crate) limits: Cell<Limits>,
    /// Time without calls after which a part is closed.
    pub(crate) idle: Millis,
    /// Appends a second that the service's sides may make together.
    pub(crate) rate: u32,
    pub(crate) log: Rc<dyn Log>,
    pub(crate) events: EventLog,
    pub(crate) timer: Timer,
}

/// A call that may not be repeated.
#[derive(Debug)]
pub(crate) struct KeyCall<'a> {
    /// Request, for the events.
    pub(crate) request: &'a RequestId,
    /// Key.
    pub(crate) key: &'a Key,
    /// What is asked for.
    pub(crate) digest: Digest,
    /// Time left.
    pub(crate) left: Millis,
}

impl Keys {
    /// Keys of a service, in as many `parts`.
    pub(crate) fn start(context: KeyContext, parts: u32) -> Self {
        let state = State {
            context,
            parts,
            open: RefCell::default(),
            closed: RefCell::default(),
            waiting: Cell::new(0),
            sharers: Cell::new(parts),
        };
        let keys = Self {
            state: Rc::new(state),
        };
        if parts == 1 {
            keys.open(0);
        } else {
            let swept = keys.clone();
            monoio::spawn(async move { swept.sweep().await });
        }
        keys
    }

    /// Number of parts.
    pub(crate) fn parts(&self) -> u32 {
        self.state.parts
    }

    /// Takes new limits; each stream is read anew for them.
    pub(crate) fn set_limits(&self, limits: Limits) {
        self.state.context.limits.set(limits);
        for part in self.state.open.borrow().values() {
            part.set_limits(limits);
        }
    }

    /// Takes the number of the service's sides. They share the rate of appends where all keys are
    /// in one part; else each part's side has its part of it.
    pub(crate) fn set_sides(&self, sides: u32) {
        if self.state.parts > 1 {
            return;
        }
        self.state.sharers.set(sides.max(1));
        for part in self.state.open.borrow().values() {
            part.set_interval(self.interval());
        }
    }

    /// Shortest time between two appends to one part's stream.
    fn interval(&self) -> Duration {
        let rate = self.state.context.rate.max(1);
        let share = SECOND * self.state.sharers.get() / rate;
        share.max(AppendOptions::default().interval)
    }

    /// Holds the part of a call's key, once it has caught up with the log.
    ///
    /// # Errors
    /// Why the call is not run, if that takes too much of the time `left`.
    pub(crate) async fn hold(&self, key: &Key, left: Millis) -> Result<Hold, Reason> {
        let at = key.partition(self.state.parts);
        if let Some(hold) = self.try_hold(at)
            && (self.state.parts == 1 || hold.caught_up())
        {
            return Ok(hold);
        }
        let _place = Place::take(&self.state).ok_or(Reason::Overloaded)?;
        let timer = &self.state.context.timer;
        let until = timer.now() + Millis(left.0 / 2).min(OPEN_SPAN);
        loop {
            let hold = self.try_hold(at);
            let up = hold.as_ref().is_none_or(|h| h.is_up());
            if let Some(hold) = hold.filter(|h| h.caught_up()) {
                return Ok(hold);
            }
            if !up {
                return Err(Reason::LogDown);
            }
            if timer.now() >= until {
                return Err(Reason::Overloaded);
            }
            timer.sleep(OPEN_PAUSE).await;
        }
    }

    /// Holds a part that is open, or starts to open it, unless enough are opening now.
    fn try_hold(&self, at: u32) -> Option<Hold> {
        let known = self.state.open.borrow().get(&at).map(Hold::new);
        if known.is_some() {
            return known;
        }
        let opening = {
            let open = self.state.open.borrow();
            open.values().filter(|p| !p.caught_up()).count()
        };
        (opening < OPENING).then(|| Hold::new(&self.open(at)))
    }

    fn open(&self, at: u32) -> Part {
        let context = &self.state.context;
        let last = self.state.closed.borrow().get(&at).copied();
        // A clock that was set back must not lead to a name that was used.
        let incarnation = last.map_or(context.incarnation, |l| wall_clock().0.max(l + 1));
        let part = Part::open(context, self.stream(at), incarnation);
        part.set_interval(self.interval());
        self.state.open.borrow_mut().insert(at, part.clone());
        part
    }

    fn stream(&self, at: u32) -> String {
        let service = &self.state.context.service;
        if self.state.parts == 1 {
            format!("intents.{service}")
        } else {
            // No other service's stream has this name: with the number last, a service could whose
            // own name ends so.
            format!("intents-{at}.{service}")
        }
    }

    /// Closes parts that are not wanted any more; never ends.
    async fn sweep(&self) {
        loop {
            self.state.context.timer.sleep(SWEEP).await;
            let idle = self.state.context.idle;
            let mut closed = self.state.closed.borrow_mut();
            self.state.open.borrow_mut().retain(|&at, part| {
                let ends = part.is_idle(idle);
                if ends {
                    closed.insert(at, part.close());
                }
                !ends
            });
        }
    }
}

/// Place of a call that waits for a part to open.
struct Place<'a> {
    waiting: &'a Cell<usize>,
}

impl<'a> Place<'a> {
    fn take(state: &'a State) -> Option<Self> {
        let waiting = &state.waiting;
        if waiting.get() >= WAITING {
            return None;
        }
        waiting.set(waiting.get() + 1);
        Some(Self { waiting })
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.waiting.set(self.waiting.get() - 1);
    }
}
