//! Idempotency keys of the calls to one service, split into parts with a log stream each.
//!
//! The part of a key is determined by the key and the number of parts alone. A side opens a part
//! for the first call with a key in it, and admits no call to the part before it has read all that
//! the stream held at the opening. It closes a part that no call has used for a while and to whose
//! stream no record is owed. If there is only one part, it stays open while the side runs.
//!
//! Several sides may have the same part open at once: only the order of the records in the part's
//! stream decides.
//!
//! - `part` is one part, with its ledger and its stream.
//! - `claim` takes a call through admission, the append of its intent and the wait until the intent
//!   is read back.
//! - `reader` follows the stream; `writer` appends the records that it lacks.

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

use crate::state::unix_time;
pub(crate) use claim::Claim;
pub(crate) use dump::KeysDump;
use part::Part;
pub(crate) use part::PartGuard;

/// Most parts that are read for the first time at once.
const MAX_OPENING_PARTS: usize = 4;
/// Most calls that wait for parts to open.
const MAX_WAITING_CALLS: usize = 256;
/// Longest wait for a part to open. A call waits for at most half of its time left, so that it can
/// be retried at another side.
const MAX_OPEN_WAIT: Millis = Millis(10_000);
const OPEN_POLL_INTERVAL: Duration = Duration::from_millis(5);
const SECOND: Duration = Duration::from_secs(1);
/// Time between two checks for parts to close.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Keys of the calls to one service at this side. Clones share the state.
#[derive(Clone)]
pub(crate) struct Keys {
    state: Rc<State>,
}

struct State {
    context: KeyContext,
    /// Number of parts.
    parts: u32,
    /// Open parts, by index.
    open_parts: RefCell<BTreeMap<u32, Part>>,
    /// Last incarnation of each part that was closed.
    last_incarnations: RefCell<BTreeMap<u32, u64>>,
    /// Calls that wait for a part to open.
    waiting_calls: Cell<usize>,
    /// Number of appenders that share the service's append rate: the sides if there is one part,
    /// else about one side for each part.
    appenders: Cell<u32>,
}

/// Settings and services for the keys of one service.
pub(crate) struct KeyContext {
    pub(crate) service: ServiceId,
    pub(crate) vm: VmId,
    /// Incarnation of this process: the time of its start.
    pub(crate) incarnation: u64,
    pub(crate) limits: Cell<Limits>,
    /// Time without calls after which a part is closed.
    pub(crate) idle_timeout: Millis,
    /// Most appends per second by all sides of the service together.
    pub(crate) append_rate: u32,
    pub(crate) log: Rc<dyn Log>,
    pub(crate) events: EventLog,
    pub(crate) timer: Timer,
}

/// A call that may not be repeated.
#[derive(Debug)]
pub(crate) struct KeyCall<'a> {
    /// Request, for log events.
    pub(crate) request: &'a RequestId,
    /// Idempotency key.
    pub(crate) key: &'a Key,
    /// Digest of the call's method, path and body.
    pub(crate) digest: Digest,
    /// Time until the call's deadline.
    pub(crate) time_left: Millis,
}

impl Keys {
    /// Creates the keys of a service, split into `parts` parts.
    pub(crate) fn start(context: KeyContext, parts: u32) -> Self {
        let state = State {
            context,
            parts,
            open_parts: RefCell::default(),
            last_incarnations: RefCell::default(),
            waiting_calls: Cell::new(0),
            appenders: Cell::new(parts),
        };
        let keys = Self {
            state: Rc::new(state),
        };
        if parts == 1 {
            keys.open(0);
        } else {
            let sweeper = keys.clone();
            monoio::spawn(async move { sweeper.sweep().await });
        }
        keys
    }

    /// Number of parts.
    pub(crate) fn parts(&self) -> u32 {
        self.state.parts
    }

    /// Sets the limits; each open part reads its stream again from the start to apply them.
    pub(crate) fn set_limits(&self, limits: Limits) {
        self.state.context.limits.set(limits);
        for part in self.state.open_parts.borrow().values() {
            part.set_limits(limits);
        }
    }

    /// Sets the number of the service's sides. They share the append rate if all keys are in one
    /// part; otherwise the rate is divided by the number of parts.
    pub(crate) fn set_sides(&self, sides: u32) {
        if self.state.parts > 1 {
            return;
        }
        self.state.appenders.set(sides.max(1));
        for part in self.state.open_parts.borrow().values() {
            part.set_append_interval(self.append_interval());
        }
    }

    /// Shortest time from one append to a part's stream to the next.
    fn append_interval(&self) -> Duration {
        let rate = self.state.context.append_rate.max(1);
        let interval = SECOND * self.state.appenders.get() / rate;
        interval.max(AppendOptions::default().interval)
    }

    /// Opens the part of a call's key if needed, waits until it has caught up with the log, and
    /// returns a guard that keeps it open.
    ///
    /// # Errors
    /// Reason to refuse the call: too many calls wait, the part takes too much of the time left to
    /// open, or the log is down.
    pub(crate) async fn acquire_part(
        &self,
        key: &Key,
        time_left: Millis,
    ) -> Result<PartGuard, Reason> {
        let index = key.partition(self.state.parts);
        if let Some(guard) = self.try_acquire_part(index)
            && (self.state.parts == 1 || guard.caught_up())
        {
            return Ok(guard);
        }
        let _permit = WaitPermit::acquire(&self.state).ok_or(Reason::Overloaded)?;
        let timer = &self.state.context.timer;
        let deadline = timer.now() + Millis(time_left.0 / 2).min(MAX_OPEN_WAIT);
        loop {
            let guard = self.try_acquire_part(index);
            let log_up = guard.as_ref().is_none_or(|g| g.is_log_up());
            if let Some(guard) = guard.filter(|g| g.caught_up()) {
                return Ok(guard);
            }
            if !log_up {
                return Err(Reason::LogDown);
            }
            if timer.now() >= deadline {
                return Err(Reason::Overloaded);
            }
            timer.sleep(OPEN_POLL_INTERVAL).await;
        }
    }

    /// Guard of a part that is open, or is opened now; `None` if too many parts are being opened.
    fn try_acquire_part(&self, index: u32) -> Option<PartGuard> {
        let guard = self
            .state
            .open_parts
            .borrow()
            .get(&index)
            .map(PartGuard::new);
        if guard.is_some() {
            return guard;
        }
        let opening = {
            let open_parts = self.state.open_parts.borrow();
            open_parts.values().filter(|p| !p.caught_up()).count()
        };
        (opening < MAX_OPENING_PARTS).then(|| PartGuard::new(&self.open(index)))
    }

    fn open(&self, index: u32) -> Part {
        let context = &self.state.context;
        let last = self.state.last_incarnations.borrow().get(&index).copied();
        // An incarnation must not be used again, even if the clock was set back.
        let incarnation = last.map_or(context.incarnation, |l| unix_time().0.max(l + 1));
        let part = Part::open(context, self.stream(index), incarnation);
        part.set_append_interval(self.append_interval());
        self.state
            .open_parts
            .borrow_mut()
            .insert(index, part.clone());
        part
    }

    fn stream(&self, index: u32) -> String {
        let service = &self.state.context.service;
        if self.state.parts == 1 {
            format!("intents.{service}")
        } else {
            // The number is first so that no other service's stream has this name: with the number
            // last, the stream of a service whose own name ends in it could.
            format!("intents-{index}.{service}")
        }
    }

    /// Closes parts that are no longer used; never returns.
    async fn sweep(&self) {
        loop {
            self.state.context.timer.sleep(SWEEP_INTERVAL).await;
            let idle_timeout = self.state.context.idle_timeout;
            let mut last_incarnations = self.state.last_incarnations.borrow_mut();
            self.state.open_parts.borrow_mut().retain(|&index, part| {
                let idle = part.is_idle(idle_timeout);
                if idle {
                    last_incarnations.insert(index, part.close());
                }
                !idle
            });
        }
    }
}

/// Permit of a call to wait for a part to open.
struct WaitPermit<'a> {
    waiting_calls: &'a Cell<usize>,
}

impl<'a> WaitPermit<'a> {
    fn acquire(state: &'a State) -> Option<Self> {
        let waiting_calls = &state.waiting_calls;
        if waiting_calls.get() >= MAX_WAITING_CALLS {
            return None;
        }
        waiting_calls.set(waiting_calls.get() + 1);
        Some(Self { waiting_calls })
    }
}

impl Drop for WaitPermit<'_> {
    fn drop(&mut self) {
        self.waiting_calls.set(self.waiting_calls.get() - 1);
    }
}
