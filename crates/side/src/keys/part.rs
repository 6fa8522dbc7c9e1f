//! One part of a service's keys: the ledger, and the log's stream behind it.
//!
//! Its two tasks, the reader's and the writer's, end once it is closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use pumicecleat_infra::{AppendOptions, Appender, Log};
use pumicecleat_ledger::{
    Attempt, Dump, Event, Key, Ledger, Limits, OffsetRange, Outcome, Owner, SendPermit,
    SentAttempt, StepError,
};
use pumicecleat_net::Timer;
use pumicecleat_ops::{Log as EventLog, events, field};
use pumicecleat_types::{Millis, Reason, RequestId};

use super::KeyContext;
use crate::state::wall_clock;

/// One part of the keys of a service at this side. Clones share it.
#[derive(Clone)]
pub(crate) struct Part {
    pub(super) state: Rc<State>,
}

pub(super) struct State {
    pub(super) ledger: RefCell<Ledger>,
    pub(super) stream: String,
    pub(super) log: Rc<dyn Log>,
    pub(super) events: EventLog,
    pub(super) timer: Timer,
    pub(super) limits: Cell<Limits>,
    /// Since when the ledger has been one for other limits.
    pub(super) outdated: Cell<Option<Millis>>,
    /// The log answered last.
    pub(super) up: Cell<bool>,
    /// All that the stream holds is read, by the last read.
    pub(super) at_end: Cell<bool>,
    pub(super) waiting: RefCell<BTreeMap<Attempt, Sender<Event>>>,
    pub(super) appender: Appender,
    pub(super) wake: Sender<()>,
    /// Calls that hold it.
    users: Cell<usize>,
    /// When it was opened, or a call last let go of it.
    used: Cell<Millis>,
    pub(super) closed: Cell<bool>,
}

impl Part {
    /// Opens the part behind `stream`: reads it from now on. No other opening of the stream on
    /// this VM may have had `incarnation` or a later one.
    pub(super) fn open(context: &KeyContext, stream: String, incarnation: u64) -> Self {
        let (wake, due) = async_channel::bounded(1);
        let owner = Owner {
            vm: context.vm.clone(),
            incarnation,
        };
        // Until the stream's span is known the ledger has not caught up, and admits nothing.
        let unknown = OffsetRange {
            first: 0,
            end: u64::MAX,
        };
        let options = AppendOptions {
            seed: incarnation,
            ..AppendOptions::default()
        };
        let appender = Appender::start(Rc::clone(&context.log), &context.timer, &stream, options);
        let limits = context.limits.get();
        let state = State {
            ledger: RefCell::new(Ledger::new(owner, limits, unknown)),
            stream,
            appender,
            log: Rc::clone(&context.log),
            events: context.events.clone(),
            timer: context.timer.clone(),
            limits: Cell::new(limits),
            outdated: Cell::new(None),
            up: Cell::new(true),
            at_end: Cell::new(false),
            waiting: RefCell::default(),
            wake,
            users: Cell::new(0),
            used: Cell::new(context.timer.now()),
            closed: Cell::new(false),
        };
        let part = Self {
            state: Rc::new(state),
        };
        let reader = part.clone();
        monoio::spawn(async move { reader.follow().await });
        let writer = part.clone();
        monoio::spawn(async move { writer.write(due).await });
        part
    }

    /// Whether it has read all that stood in its stream when it was opened.
    pub(super) fn caught_up(&self) -> bool {
        self.state.ledger.borrow().caught_up()
    }

    /// Whether the log answered last.
    pub(super) fn is_up(&self) -> bool {
        self.state.up.get()
    }

    /// Whether it may be closed: no call has held it for `span`, and nothing is owed to its stream.
    /// All of that is read, as an own intent may stand there that has yet to be abandoned.
    pub(super) fn is_idle(&self, span: Millis) -> bool {
        let since = self.state.timer.now().since(self.state.used.get());
        let rests = self.state.users.get() == 0 && since >= span;
        rests && self.state.at_end.get() && self.is_settled()
    }

    /// Whether no own attempt is under way and the stream lacks nothing.
    pub(super) fn is_settled(&self) -> bool {
        let ledger = self.state.ledger.borrow();
        ledger.is_idle()
    }

    /// Ends its tasks, and gives the last incarnation that it used.
    pub(super) fn close(&self) -> u64 {
        self.state.closed.set(true);
        self.wake();
        self.state.ledger.borrow().owner().incarnation
    }

    /// Takes new limits; the stream is read anew for them.
    pub(super) fn set_limits(&self, limits: Limits) {
        if self.state.limits.replace(limits) != limits {
            let now = self.state.timer.now();
            self.state.outdated.set(Some(now));
        }
    }

    /// Sets the shortest time between two appends.
    pub(super) fn set_interval(&self, interval: Duration) {
        self.state.appender.set_interval(interval);
    }

    /// Notes that a call goes to the service now.
    pub(crate) fn sent(&self, won: SendPermit) -> Result<SentAttempt, StepError> {
        self.state.ledger.borrow_mut().mark_sent(won, wall_clock())
    }

    /// Takes back a call that failed before a byte left; `true` if it may be told as not run.
    pub(crate) fn unsent(&self, sent: SentAttempt) -> bool {
        let taken = self.state.ledger.borrow_mut().revert_send(sent).is_ok();
        self.wake();
        taken
    }

    /// Gives up a call that was not sent; `true` if it may be told as not run.
    pub(crate) fn withdraw(&self, won: &SendPermit) -> bool {
        let voided = self
            .state
            .ledger
            .borrow_mut()
            .abandon(won.attempt())
            .is_ok();
        self.wake();
        voided
    }

    /// Records what came of a call.
    pub(crate) fn finish(
        &self,
        request: &RequestId,
        key: &Key,
        sent: SentAttempt,
        outcome: Outcome,
    ) {
        if outcome == Outcome::Unknown {
            let fields = [field("request", request), field("key", key.text())];
            self.state.events.emit(&events::KEY_UNKNOWN, &fields);
        }
        let finished = self
            .state
            .ledger
            .borrow_mut()
            .finish(sent, outcome)
            .map(|_| ());
        if let Err(e) = finished {
            let fields = [field("step", "finish"), field("error", &e)];
            self.state.events.emit(&events::INTERNAL, &fields);
        }
        self.wake();
    }

    /// State for people.
    pub(super) fn dump(&self) -> Dump {
        self.state.ledger.borrow().dump()
    }

    pub(super) fn wake(&self) {
        // A full channel holds the same message already.
        let _ = self.state.wake.try_send(());
    }
}

/// A call's hold on a part, which keeps it open.
pub(crate) struct Hold {
    part: Part,
}

impl Hold {
    pub(super) fn new(part: &Part) -> Self {
        let users = &part.state.users;
        users.set(users.get() + 1);
        Self { part: part.clone() }
    }
}

impl Deref for Hold {
    type Target = Part;

    fn deref(&self) -> &Part {
        &self.part
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let state = &self.part.state;
        state.users.set(state.users.get() - 1);
        state.used.set(state.timer.now());
    }
}

/// Refusal that stands for a step that the ledger does not allow.
pub(super) fn step_reason(error: &StepError) -> Reason {
    match error {
        StepError::DeadlinePassed { .. } => Reason::Deadline,
        StepError::NotOpen { .. } | StepError::AlreadySent { .. } => Reason::KeyUnknown,
    }
}
