//! One part of a service's keys: its ledger and its stream in the log.
//!
//! Its two tasks, the reader and the writer, end once it is closed.

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
use crate::state::unix_time;

/// One part of the keys of a service at this side. Clones share the state.
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
    /// When the limits changed, if the ledger was created for the earlier ones.
    pub(super) limits_changed_at: Cell<Option<Millis>>,
    /// Whether the log answered the latest read.
    pub(super) log_up: Cell<bool>,
    /// Whether the latest read reached the end of the stream.
    pub(super) at_end: Cell<bool>,
    /// Channels to the claims that wait until their attempt is decided.
    pub(super) waiting: RefCell<BTreeMap<Attempt, Sender<Event>>>,
    pub(super) appender: Appender,
    pub(super) wake_writer: Sender<()>,
    /// Number of guards that keep it open.
    guards: Cell<usize>,
    /// When it was opened, or a guard was last dropped.
    last_used: Cell<Millis>,
    pub(super) closed: Cell<bool>,
}

impl Part {
    /// Opens the part that has `stream`, and starts to read it. `incarnation` must be later than
    /// that of any other opening of the stream on this VM.
    pub(super) fn open(context: &KeyContext, stream: String, incarnation: u64) -> Self {
        let (wake_writer, woken) = async_channel::bounded(1);
        let owner = Owner {
            vm: context.vm.clone(),
            incarnation,
        };
        // The ledger has not caught up, and admits nothing, until the stream's span is known.
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
            limits_changed_at: Cell::new(None),
            log_up: Cell::new(true),
            at_end: Cell::new(false),
            waiting: RefCell::default(),
            wake_writer,
            guards: Cell::new(0),
            last_used: Cell::new(context.timer.now()),
            closed: Cell::new(false),
        };
        let part = Self {
            state: Rc::new(state),
        };
        let reader = part.clone();
        monoio::spawn(async move { reader.follow_stream().await });
        let writer = part.clone();
        monoio::spawn(async move { writer.write_owed(woken).await });
        part
    }

    /// Whether it has read all that its stream held when it was opened.
    pub(super) fn caught_up(&self) -> bool {
        self.state.ledger.borrow().caught_up()
    }

    /// Whether the log answered the latest read.
    pub(super) fn is_log_up(&self) -> bool {
        self.state.log_up.get()
    }

    /// Whether it may be closed: no guard has been held for `timeout`, and no record is owed to its
    /// stream. The stream must have been read to its end, as it may hold an own intent that has yet
    /// to be abandoned.
    pub(super) fn is_idle(&self, timeout: Millis) -> bool {
        let since = self.state.timer.now().since(self.state.last_used.get());
        let unused = self.state.guards.get() == 0 && since >= timeout;
        unused && self.state.at_end.get() && self.is_settled()
    }

    /// Whether no own attempt is in progress and no record is owed to the stream.
    pub(super) fn is_settled(&self) -> bool {
        let ledger = self.state.ledger.borrow();
        ledger.is_idle()
    }

    /// Ends its tasks and returns the last incarnation that it used.
    pub(super) fn close(&self) -> u64 {
        self.state.closed.set(true);
        self.wake_writer();
        self.state.ledger.borrow().owner().incarnation
    }

    /// Sets the limits; the stream is read again from the start to apply them.
    pub(super) fn set_limits(&self, limits: Limits) {
        if self.state.limits.replace(limits) != limits {
            let now = self.state.timer.now();
            self.state.limits_changed_at.set(Some(now));
        }
    }

    /// Sets the shortest time from one append to the next.
    pub(super) fn set_append_interval(&self, interval: Duration) {
        self.state.appender.set_interval(interval);
    }

    /// Records that a call is sent to the service now.
    ///
    /// # Errors
    /// [`StepError`] if its deadline has passed, or it was voided or sent before.
    pub(crate) fn sent(&self, won: SendPermit) -> Result<SentAttempt, StepError> {
        self.state.ledger.borrow_mut().mark_sent(won, unix_time())
    }

    /// Voids a call that failed before any byte was sent. Returns whether it may be reported as not
    /// run.
    pub(crate) fn unsent(&self, sent: SentAttempt) -> bool {
        let voided = self.state.ledger.borrow_mut().revert_send(sent).is_ok();
        self.wake_writer();
        voided
    }

    /// Voids a call that was not sent. Returns whether it may be reported as not run.
    pub(crate) fn withdraw(&self, won: &SendPermit) -> bool {
        let voided = self
            .state
            .ledger
            .borrow_mut()
            .abandon(won.attempt())
            .is_ok();
        self.wake_writer();
        voided
    }

    /// Records the outcome of a call.
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
        self.wake_writer();
    }

    /// State of the ledger, for the dump.
    pub(super) fn dump(&self) -> Dump {
        self.state.ledger.borrow().dump()
    }

    pub(super) fn wake_writer(&self) {
        // A full channel already holds a wake-up.
        let _ = self.state.wake_writer.try_send(());
    }
}

/// Keeps a part open for a call.
pub(crate) struct PartGuard {
    part: Part,
}

impl PartGuard {
    pub(super) fn new(part: &Part) -> Self {
        let guards = &part.state.guards;
        guards.set(guards.get() + 1);
        Self { part: part.clone() }
    }
}

impl Deref for PartGuard {
    type Target = Part;

    fn deref(&self) -> &Part {
        &self.part
    }
}

impl Drop for PartGuard {
    fn drop(&mut self) {
        let state = &self.part.state;
        state.guards.set(state.guards.get() - 1);
        state.last_used.set(state.timer.now());
    }
}

/// Reason to refuse a call whose step the ledger did not allow.
pub(super) fn refusal_reason(error: &StepError) -> Reason {
    match error {
        StepError::DeadlinePassed { .. } => Reason::Deadline,
        StepError::NotOpen { .. } | StepError::AlreadySent { .. } => Reason::KeyUnknown,
    }
}
