//! Idempotency keys of one service's calls: the ledger, and the log's stream behind it.
//!
//! `claim` takes a call through admission, the append of its intent and the wait for it to be read
//! back; `reader` follows the stream; `writer` appends outcomes. Many records ride in one append.

mod claim;
mod reader;
mod writer;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Sender;
use pumicecleat_ledger::{
    Attempt, Digest, Dump, Event, Key, Ledger, Limits, Outcome, Owner, Sent, Span, StepError, Won,
};
use pumicecleat_net::Timer;
use pumicecleat_ops::{Log as EventLog, events, field};
use pumicecleat_platform::{AppendOptions, Appender, Log};
use pumicecleat_types::{Millis, Reason, RequestId, ServiceId, VmId};

use crate::state::wall_clock;
pub(crate) use claim::Claim;

/// Keys of the calls of one service at this side. Clones share them.
#[derive(Clone)]
pub(crate) struct Keys {
    state: Rc<State>,
}

struct State {
    ledger: RefCell<Ledger>,
    stream: String,
    log: Rc<dyn Log>,
    events: EventLog,
    timer: Timer,
    limits: Cell<Limits>,
    /// Since when the ledger has been one for other limits.
    outdated: Cell<Option<Millis>>,
    /// The log answered last.
    up: Cell<bool>,
    waiting: RefCell<BTreeMap<Attempt, Sender<Event>>>,
    appender: Appender,
    wake: Sender<()>,
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
    /// Keys of `service`; reads its stream from now on.
    pub(crate) fn start(
        service: &ServiceId,
        vm: &VmId,
        incarnation: u64,
        limits: Limits,
        parts: &KeyParts<'_>,
    ) -> Self {
        let (wake, due) = async_channel::bounded(1);
        let owner = Owner {
            vm: vm.clone(),
            incarnation,
        };
        // Until the stream's span is known the ledger has not caught up, and admits nothing.
        let unknown = Span {
            first: 0,
            end: u64::MAX,
        };
        let stream = format!("intents.{service}");
        let options = AppendOptions {
            seed: incarnation,
            ..AppendOptions::default()
        };
        let appender = Appender::start(Rc::clone(parts.log), parts.timer, &stream, options);
        let state = State {
            ledger: RefCell::new(Ledger::new(owner, limits, unknown)),
            stream,
            appender,
            log: Rc::clone(parts.log),
            events: parts.events.clone(),
            timer: parts.timer.clone(),
            limits: Cell::new(limits),
            outdated: Cell::new(None),
            up: Cell::new(true),
            waiting: RefCell::default(),
            wake,
        };
        let keys = Self {
            state: Rc::new(state),
        };
        let reader = keys.clone();
        monoio::spawn(async move { reader.follow().await });
        let writer = keys.clone();
        monoio::spawn(async move { writer.write(due).await });
        keys
    }

    /// Takes new limits; the stream is read anew for them.
    pub(crate) fn set_limits(&self, limits: Limits) {
        if self.state.limits.replace(limits) != limits {
            let now = self.state.timer.now();
            self.state.outdated.set(Some(now));
        }
    }

    /// Notes that a call goes to the service now.
    pub(crate) fn sent(&self, won: Won) -> Result<Sent, StepError> {
        self.state.ledger.borrow_mut().sent(won, wall_clock())
    }

    /// Takes back a call that failed before a byte left; `true` if it may be told as not run.
    pub(crate) fn unsent(&self, sent: Sent) -> bool {
        let taken = self.state.ledger.borrow_mut().unsent(sent).is_ok();
        self.wake();
        taken
    }

    /// Gives up a call that was not sent; `true` if it may be told as not run.
    pub(crate) fn withdraw(&self, won: &Won) -> bool {
        let voided = self.state.ledger.borrow_mut().void(won.attempt()).is_ok();
        self.wake();
        voided
    }

    /// Records what came of a call.
    pub(crate) fn finish(&self, request: &RequestId, key: &Key, sent: Sent, outcome: Outcome) {
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
    pub(crate) fn dump(&self) -> Dump {
        self.state.ledger.borrow().dump()
    }

    fn wake(&self) {
        // A full channel holds the same message already.
        let _ = self.state.wake.try_send(());
    }
}

/// What keys are kept with.
pub(crate) struct KeyParts<'a> {
    pub(crate) log: &'a Rc<dyn Log>,
    pub(crate) events: &'a EventLog,
    pub(crate) timer: &'a Timer,
}

/// Refusal that stands for a step that the ledger does not allow.
fn step_reason(error: &StepError) -> Reason {
    match error {
        StepError::Late { .. } => Reason::Deadline,
        StepError::Closed { .. } | StepError::Sent { .. } => Reason::KeyUnknown,
    }
}
