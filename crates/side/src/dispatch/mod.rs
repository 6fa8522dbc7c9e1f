//! The queue before the upstream: the scheduler, and who waits for its decision.
//!
//! A request holds a [`Ticket`] from the moment it is taken in until its answer has ended. Dropping
//! the ticket withdraws the request if it still waits, or ends it if it was sent.

mod names;
mod tell;
mod ticket;
mod view;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_net::Timer;
use pumicecleat_policy::{
    Action, Bid, Job, JobId, JobRefusal, LoraIx, Scheduler, SchedulerOptions,
};
use pumicecleat_types::{Lora, Millis};

use names::Names;
pub(crate) use ticket::{Decision, Ticket};
pub(crate) use view::DispatchDump;

/// How long an adapter stays pinned after a cut answer: the engine ends it at its next step.
const ABORT_SPAN: Duration = Duration::from_millis(500);

/// Order for the upstream or the entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Ask an entry for a turn at the weight store.
    Bid(Bid),
    /// Give the turn back.
    ReleaseTurn,
    /// Load.
    Load(Lora),
    /// Unload.
    Unload(Lora),
}

/// What a request asks of the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    /// Adapter, or `None` for a plain service.
    pub(crate) lora: Option<&'a Lora>,
    /// Caller.
    pub(crate) caller: &'a str,
    /// Caller's claim.
    pub(crate) claim: u32,
    /// Priority, higher first.
    pub(crate) priority: u8,
    /// Time left.
    pub(crate) left: Millis,
    /// Tokens the answer may have.
    pub(crate) tokens: u32,
}

/// The queue of one side.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    state: Rc<State>,
}

struct State {
    scheduler: RefCell<Scheduler>,
    names: RefCell<Names>,
    waiting: RefCell<BTreeMap<JobId, Sender<Decision>>>,
    next_job: RefCell<u64>,
    orders: Sender<Order>,
    changed: Sender<()>,
    timer: Timer,
}

/// Ends of the dispatcher's channels that its tasks read.
pub(crate) struct Outlets {
    pub(crate) orders: Receiver<Order>,
    pub(crate) changed: Receiver<()>,
}

impl Dispatcher {
    /// Dispatcher with nothing resident.
    pub(crate) fn new_ext(options: SchedulerOptions, timer: &Timer) -> (Self, Outlets) {
        let (orders, orders_out) = async_channel::unbounded();
        let (changed, changed_out) = async_channel::bounded(1);
        let state = State {
            scheduler: RefCell::new(Scheduler::new_ext(options)),
            names: RefCell::default(),
            waiting: RefCell::default(),
            next_job: RefCell::default(),
            orders,
            changed,
            timer: timer.clone(),
        };
        let dispatcher = Self {
            state: Rc::new(state),
        };
        let outlets = Outlets {
            orders: orders_out,
            changed: changed_out,
        };
        (dispatcher, outlets)
    }

    /// Takes a request in.
    ///
    /// # Errors
    /// [`JobRefusal`] if it can't be met.
    pub(crate) fn submit(&self, demand: &Demand<'_>) -> Result<Ticket, JobRefusal> {
        let now = self.now();
        let id = self.next_id();
        let job = {
            let mut names = self.state.names.borrow_mut();
            Job {
                id,
                lora: demand.lora.map(|l| names.lora(l)),
                caller: names.caller(demand.caller),
                claim: demand.claim.max(1),
                priority: demand.priority,
                deadline: now + demand.left,
                arrived: now,
                tokens: demand.tokens,
            }
        };
        self.state.scheduler.borrow_mut().submit(job, now)?;
        let (word, ticket) = Ticket::new(self, id);
        self.state.waiting.borrow_mut().insert(id, word);
        self.pump();
        Ok(ticket)
    }

    /// Carries out what the scheduler orders now.
    pub(crate) fn pump(&self) {
        let now = self.now();
        let actions = self.state.scheduler.borrow_mut().poll(now);
        for action in actions {
            self.carry_out(action);
        }
        // A full channel holds the same message already.
        let _ = self.state.changed.try_send(());
    }

    /// Polls the scheduler whenever it is due; never ends.
    pub(crate) async fn drive(&self, changed: Receiver<()>) {
        loop {
            let now = self.now();
            let next = self.state.scheduler.borrow().next_wake(now);
            let due = async {
                match next {
                    Some(at) => self.state.timer.sleep_until(at.max(now + Millis(1))).await,
                    None => std::future::pending().await,
                }
            };
            let due = std::pin::pin!(due);
            let change = std::pin::pin!(changed.recv());
            let woken = futures_util::future::select(due, change).await;
            if matches!(woken, futures_util::future::Either::Left(_)) {
                self.pump();
            }
        }
    }

    fn carry_out(&self, action: Action) {
        let order = match action {
            Action::Send(id) => return self.tell(id, Decision::Go),
            Action::Refuse(id, refusal) => return self.tell(id, Decision::Refused(refusal)),
            Action::Bid(bid) => Order::Bid(bid),
            Action::ReleaseTurn => Order::ReleaseTurn,
            Action::Load(lora) => Order::Load(self.lora(lora)),
            Action::Unload(lora) => Order::Unload(self.lora(lora)),
        };
        // The reader lives as long as the dispatcher; at the process's end nothing is lost by it.
        let _ = self.state.orders.try_send(order);
    }

    fn tell(&self, id: JobId, word: Decision) {
        let waiting = self.state.waiting.borrow_mut().remove(&id);
        let told = waiting.is_some_and(|w| w.try_send(word).is_ok());
        if !told && word == Decision::Go {
            let now = self.now();
            self.state.scheduler.borrow_mut().finished(id, false, now);
        }
    }

    /// The ticket of a request that still waits was dropped.
    fn withdraw(&self, id: JobId) {
        self.state.waiting.borrow_mut().remove(&id);
        self.state.scheduler.borrow_mut().cancel(id);
        self.pump();
    }

    /// The answer of a sent request ended.
    fn finish(&self, id: JobId, whole: bool) {
        let now = self.now();
        self.state.scheduler.borrow_mut().finished(id, whole, now);
        self.pump();
    }

    /// The answer of a sent request was cut: its adapter stays pinned until the engine has ended it.
    fn finish_later(&self, id: JobId) {
        let dispatcher = self.clone();
        monoio::spawn(async move {
            dispatcher.state.timer.sleep(ABORT_SPAN).await;
            dispatcher.finish(id, false);
        });
    }

    fn lora(&self, ix: LoraIx) -> Lora {
        self.state.names.borrow().of(ix).clone()
    }

    fn index(&self, lora: &Lora) -> LoraIx {
        self.state.names.borrow_mut().lora(lora)
    }

    fn next_id(&self) -> JobId {
        let mut next = self.state.next_job.borrow_mut();
        *next += 1;
        JobId(*next)
    }

    fn now(&self) -> Millis {
        self.state.timer.now()
    }
}
