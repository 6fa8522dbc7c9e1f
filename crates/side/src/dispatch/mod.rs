//! The queue before the upstream: drives the scheduler and delivers its decisions to the requests.
//!
//! A request holds a [`Ticket`] from its submission until its answer ends. Dropping the ticket
//! withdraws the request if it is waiting, or reports its end if it was sent.

mod inputs;
mod names;
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

/// How long an adapter stays pinned after an answer is cut: the engine aborts the request only at
/// its next step.
const ABORT_DELAY: Duration = Duration::from_millis(500);

/// Order to the engine or to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Bid at an entry for a turn at the weight store.
    Bid(Bid),
    /// Release the turn.
    ReleaseTurn,
    /// Load the adapter.
    Load(Lora),
    /// Unload the adapter.
    Unload(Lora),
}

/// A request to submit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobSpec<'a> {
    /// Adapter, or `None` for a plain service.
    pub(crate) lora: Option<&'a Lora>,
    /// Caller whose share is charged for it.
    pub(crate) caller: &'a str,
    /// The caller's claim: its weight in the fair shares.
    pub(crate) claim: u32,
    /// Priority; higher goes first.
    pub(crate) priority: u8,
    /// Time until the whole answer is due.
    pub(crate) time_left: Millis,
    /// Upper bound on the tokens of the answer.
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
    /// Channels to the tickets of waiting requests.
    waiting: RefCell<BTreeMap<JobId, Sender<Decision>>>,
    last_job: RefCell<u64>,
    orders: Sender<Order>,
    /// Wakes `drive` after each poll, as the time of the next one may have changed.
    changed: Sender<()>,
    timer: Timer,
}

/// Receiving ends of the dispatcher's channels.
pub(crate) struct DispatcherReceivers {
    /// Orders to carry out.
    pub(crate) orders: Receiver<Order>,
    /// Input of [`Dispatcher::drive`].
    pub(crate) changed: Receiver<()>,
}

impl Dispatcher {
    /// Creates a dispatcher for an engine with no resident adapters.
    pub(crate) fn new_ext(options: SchedulerOptions, timer: &Timer) -> (Self, DispatcherReceivers) {
        let (orders, orders_receiver) = async_channel::unbounded();
        let (changed, changed_receiver) = async_channel::bounded(1);
        let state = State {
            scheduler: RefCell::new(Scheduler::new_ext(options)),
            names: RefCell::default(),
            waiting: RefCell::default(),
            last_job: RefCell::default(),
            orders,
            changed,
            timer: timer.clone(),
        };
        let dispatcher = Self {
            state: Rc::new(state),
        };
        let receivers = DispatcherReceivers {
            orders: orders_receiver,
            changed: changed_receiver,
        };
        (dispatcher, receivers)
    }

    /// Submits a request to the scheduler.
    ///
    /// # Errors
    /// [`JobRefusal`] if the deadline can't be met, or the queue has no room for this caller.
    pub(crate) fn submit(&self, spec: &JobSpec<'_>) -> Result<Ticket, JobRefusal> {
        let now = self.now();
        let id = self.next_job_id();
        let job = {
            let mut names = self.state.names.borrow_mut();
            Job {
                id,
                lora: spec.lora.map(|l| names.lora_index(l)),
                caller: names.caller_index(spec.caller),
                claim: spec.claim.max(1),
                priority: spec.priority,
                deadline: now + spec.time_left,
                arrived: now,
                tokens: spec.tokens,
            }
        };
        self.state.scheduler.borrow_mut().submit(job, now)?;
        let (sender, ticket) = Ticket::new(self, id);
        self.state.waiting.borrow_mut().insert(id, sender);
        self.poll();
        Ok(ticket)
    }

    /// Polls the scheduler and carries out its actions. Call this after reporting any event to the
    /// scheduler.
    pub(crate) fn poll(&self) {
        let now = self.now();
        let actions = self.state.scheduler.borrow_mut().poll(now);
        for action in actions {
            self.carry_out(action);
        }
        // A full channel already holds a wake-up.
        let _ = self.state.changed.try_send(());
    }

    /// Polls the scheduler at each of its wake times; never returns.
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
                self.poll();
            }
        }
    }

    fn carry_out(&self, action: Action) {
        let order = match action {
            Action::Send(id) => return self.deliver(id, Decision::Send),
            Action::Refuse(id, refusal) => return self.deliver(id, Decision::Refused(refusal)),
            Action::Bid(bid) => Order::Bid(bid),
            Action::ReleaseTurn => Order::ReleaseTurn,
            Action::Load(lora) => Order::Load(self.lora_at(lora)),
            Action::Unload(lora) => Order::Unload(self.lora_at(lora)),
        };
        // The receiver lives as long as the dispatcher; a failed send at the process's end loses
        // nothing.
        let _ = self.state.orders.try_send(order);
    }

    fn deliver(&self, id: JobId, decision: Decision) {
        let waiting = self.state.waiting.borrow_mut().remove(&id);
        let delivered = waiting.is_some_and(|s| s.try_send(decision).is_ok());
        if !delivered && decision == Decision::Send {
            let now = self.now();
            self.state.scheduler.borrow_mut().finished(id, false, now);
        }
    }

    /// The ticket of a waiting request was dropped.
    fn withdraw(&self, id: JobId) {
        self.state.waiting.borrow_mut().remove(&id);
        self.state.scheduler.borrow_mut().cancel(id);
        self.poll();
    }

    /// The answer to a sent request ended.
    fn finish(&self, id: JobId, whole: bool) {
        let now = self.now();
        self.state.scheduler.borrow_mut().finished(id, whole, now);
        self.poll();
    }

    /// The answer to a sent request was cut: its adapter stays pinned until the engine has aborted
    /// the request.
    fn finish_after_abort(&self, id: JobId) {
        let dispatcher = self.clone();
        monoio::spawn(async move {
            dispatcher.state.timer.sleep(ABORT_DELAY).await;
            dispatcher.finish(id, false);
        });
    }

    fn lora_at(&self, ix: LoraIx) -> Lora {
        self.state.names.borrow().lora(ix).clone()
    }

    fn lora_index(&self, lora: &Lora) -> LoraIx {
        self.state.names.borrow_mut().lora_index(lora)
    }

    fn next_job_id(&self) -> JobId {
        let mut last = self.state.last_job.borrow_mut();
        *last += 1;
        JobId(*last)
    }

    fn now(&self) -> Millis {
        self.state.timer.now()
    }
}
