//! What entries ask of the agent.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{Handler, Incoming, Reply, peer_reply, plain_reply, read_all};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{Admission, LimitSource, Slot, TurnId, TurnRequest};
use pumicecleat_types::{Millis, Turn, TurnAsk, TurnCall, TurnRefusal, TurnReply, decode};

use crate::relay::{self, FIGURES_PATH, VIEW_PATH};
use crate::shared::Shared;
use crate::trial::{TRIAL_PATH, decide};

/// Path at which entries tell news and ask for turns.
const TURN_PATH: &str = "/peer/v1/turn";

/// Longest message, bytes: a few hundred ids, or the addresses of 10,000 engines.
const MESSAGE_LIMIT: u64 = 1 << 20;

/// Time for a message to arrive.
const MESSAGE_SPAN: Duration = Duration::from_secs(1);

/// Outcome of an ask for an engine that the agent does not know: the list is read within half a second.
const UNKNOWN: Turn = Turn::No {
    reason: TurnRefusal::NoEngine,
    retry_ms: 300,
};

/// Pause between two looks whether the engine is free for a trial.
const TRIAL_LOOK: Duration = Duration::from_millis(25);

/// Outcome of an ask for a trial while another is on at the engine.
const ON_TRIAL: Turn = Turn::No {
    reason: TurnRefusal::OnTrial,
    retry_ms: 500,
};

/// Handler of the peer listener.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    shared: Rc<Shared>,
}

impl PeerHandler {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
        }
    }

    async fn reply(self, mut request: Incoming) -> Reply {
        let path = request.uri().path().to_owned();
        let timer = &self.shared.timer;
        let body = request.body_mut();
        let bytes = match read_all(body, MESSAGE_LIMIT, MESSAGE_SPAN, timer).await {
            Ok(bytes) => bytes,
            Err(e) => return plain_reply(e.status(), "message not whole\n"),
        };
        let outcome = match path.as_str() {
            TURN_PATH => match decode(&bytes) {
                Ok(call) => Ok(self.exchange(call).await),
                Err(e) => Err(e),
            },
            TRIAL_PATH => decode(&bytes).map(|call| peer_reply(&decide(&self.shared, &call))),
            VIEW_PATH => decode(&bytes).map(|call| peer_reply(&relay::view(&self.shared, call))),
            FIGURES_PATH => {
                decode(&bytes).map(|call| peer_reply(&relay::figures(&self.shared, &call)))
            }
            _ => return plain_reply(404, "unknown exchange\n"),
        };
        outcome.unwrap_or_else(|e| plain_reply(400, &format!("{e}\n")))
    }

    async fn exchange(&self, call: TurnCall) -> Reply {
        let timer = &self.shared.timer;
        let now = timer.now();
        self.shared.marks.hear(&call.marks, now);
        self.shared.entries.borrow_mut().heard(&call.entry, now);
        self.shared.turns.borrow_mut().set_peer_traits(&call.peers);
        let told = call.suspects.as_ref();
        let suspects = told.map(|told| self.shared.watch.exchange(told, now));
        self.note(&call, now);
        if let Some(limit) = call.limit {
            let mut limits = self.shared.limits.borrow_mut();
            limits.hear(&call.instance, limit, now);
        }
        // Also without an ask: entries that take the engine for another than we do ask nothing of it.
        let meant = self.shared.is_meant(&call.instance);
        let turn = match call.ask {
            Some(ask) if meant => Some(self.admit(ask, &call.instance).await),
            Some(ask) => {
                self.log_turn(&Asked::new(&ask, "unknown"), UNKNOWN, now);
                Some(UNKNOWN)
            }
            None => None,
        };
        let figures = self.shared.figures();
        let kept = self.shared.kept(call.kept);
        peer_reply(&TurnReply {
            turn,
            figures,
            kept,
            entries: self.shared.entries.borrow().count(timer.now()),
            marks: self.shared.marks.known(timer.now()),
            suspects,
        })
    }

    fn note(&self, call: &TurnCall, now: Millis) {
        if call.news.is_empty() {
            return;
        }
        let mut turns = self.shared.turns.borrow_mut();
        for news in &call.news {
            if news.ended {
                self.shared.watch.ended(&news.request);
                turns.request_ended(&news.request);
            } else {
                turns.request_started(&news.request, now);
            }
        }
        drop(turns);
        self.shared.wake.ring();
    }

    /// Grants a turn within the engine's rate limit. A request that does not stay is refused instead of
    /// waiting for a slot, because another engine may accept it immediately.
    async fn admit(&self, mut ask: TurnAsk, instance: &str) -> Turn {
        let now = self.shared.timer.now();
        let max_wait = if ask.stays {
            Millis(ask.due_ms.min(ask.patience_ms))
        } else {
            Millis(0)
        };
        let source = LimitSource {
            instance,
            born: None,
        };
        let admission = self
            .shared
            .limits
            .borrow_mut()
            .reserve(source, 1, max_wait, now);
        let slot = match admission {
            Admission::Unlimited => return self.turn(ask).await,
            Admission::Reserved(slot) => slot,
            Admission::Refused(wait) => {
                let turn = Turn::No {
                    reason: TurnRefusal::Limited,
                    retry_ms: wait.0,
                };
                self.log_turn(&Asked::new(&ask, self.hold(&ask)), turn, now);
                return turn;
            }
        };
        let mut guard = Reservation {
            shared: Rc::clone(&self.shared),
            instance: instance.to_owned(),
            slot: Some(slot),
        };
        self.shared
            .timer
            .sleep(Duration::from_millis(slot.wait.0))
            .await;
        ask.due_ms = ask.due_ms.saturating_sub(slot.wait.0);
        ask.patience_ms = ask.patience_ms.saturating_sub(slot.wait.0);
        let turn = self.turn(ask).await;
        if matches!(turn, Turn::Go { .. }) {
            guard.slot = None;
        }
        turn
    }

    async fn turn(&self, ask: TurnAsk) -> Turn {
        let from = self.shared.timer.now();
        if !self.may_try(&ask, from).await {
            let asked = Asked::new(&ask, self.hold(&ask));
            self.log_turn(&asked, ON_TRIAL, from);
            return ON_TRIAL;
        }
        let (sender, receiver) = async_channel::bounded(1);
        let request = ask.request.clone();
        let asked = Asked::new(&ask, self.hold(&ask));
        let id = self.shared.turns.borrow_mut().enqueue(
            TurnRequest {
                request_id: ask.request,
                adapter: ask.adapter.clone(),
                min_version: ask.version,
                prompt_tokens: ask.tokens,
                priority: ask.priority,
                objective: Millis(ask.objective_ms),
                objective_left: Millis(ask.due_ms),
                patience: Millis(ask.patience_ms),
                waits_for_slot: ask.stays,
            },
            from,
        );
        self.shared.waiters.borrow_mut().insert(id, sender);
        let guard = Withdraw {
            shared: Rc::clone(&self.shared),
            request,
            id,
            done: false,
        };
        self.shared.wake.ring();
        let turn = receiver.recv().await;
        // The sender is dropped without a word only when the agent ends.
        let turn = turn.unwrap_or(UNKNOWN);
        self.log_turn(&asked, turn, from);
        if matches!(turn, Turn::No { .. }) {
            self.shared.watch.ended(&guard.request);
        }
        guard.finish();
        turn
    }

    /// Whether a request that is on trial may have the engine; one that stays waits for it.
    async fn may_try(&self, ask: &TurnAsk, from: Millis) -> bool {
        let Some(trial) = ask.trial else {
            return true;
        };
        let timer = &self.shared.timer;
        let end = from + Millis(ask.patience_ms);
        loop {
            let now = timer.now();
            if self.shared.watch.begin(&ask.request, trial, now) {
                return true;
            }
            if !ask.stays || now >= end {
                return false;
            }
            timer.sleep(TRIAL_LOOK).await;
        }
    }

    /// How the engine stands to the adapter asked for.
    fn hold(&self, ask: &TurnAsk) -> &'static str {
        let turns = self.shared.turns.borrow();
        let adapter = ask.adapter.as_deref();
        adapter.map_or("", |a| turns.adapter_state(a, ask.version).as_str())
    }

    fn log_turn(&self, asked: &Asked, turn: Turn, from: Millis) {
        let waited = self.shared.timer.now().since(from);
        self.shared.meters.wait.observe(waited.as_secs());
        let figures = self.shared.figures();
        let unread = figures.unread;
        let unread_gauge = i64::try_from(unread).unwrap_or(i64::MAX);
        self.shared.meters.unread.set(unread_gauge);
        let request = field("request", asked.request.as_str());
        let adapter = field("adapter", asked.adapter.as_str());
        let hold = field("hold", asked.hold);
        let waited = field("waited_ms", waited.0);
        let unread = field("unread", unread);
        let rate = field("rate", figures.traits.rate);
        match turn {
            Turn::Go { .. } => self.shared.log.emit(
                &events::ENGINE_TURN,
                &[request, adapter, hold, waited, unread, rate],
            ),
            Turn::No { reason, retry_ms } => {
                let reason = field("reason", reason.as_str());
                let retry = field("retry_ms", retry_ms);
                let fields = [request, adapter, hold, reason, waited, unread, rate, retry];
                self.shared.log.emit(&events::ENGINE_TURN_REFUSED, &fields);
            }
        }
    }
}

/// What is logged of an ask.
struct Asked {
    request: String,
    adapter: String,
    /// How the engine stood to the adapter when it was asked.
    hold: &'static str,
}

impl Asked {
    fn new(ask: &TurnAsk, hold: &'static str) -> Self {
        Self {
            request: ask.request.clone(),
            adapter: ask.adapter.clone().unwrap_or_default(),
            hold,
        }
    }
}

/// Slot under the engine's rate limit; given back on drop unless `slot` was cleared.
struct Reservation {
    shared: Rc<Shared>,
    instance: String,
    slot: Option<Slot>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(slot) = self.slot {
            let mut limits = self.shared.limits.borrow_mut();
            limits.give_back(&self.instance, slot);
        }
    }
}

/// Takes an ask back if its entry leaves before the outcome reached it.
struct Withdraw {
    shared: Rc<Shared>,
    request: String,
    id: TurnId,
    done: bool,
}

impl Withdraw {
    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for Withdraw {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.shared.waiters.borrow_mut().remove(&self.id);
        self.shared.watch.ended(&self.request);
        let mut turns = self.shared.turns.borrow_mut();
        if !turns.cancel(self.id) {
            turns.request_ended(&self.request);
        }
    }
}

impl Handler for PeerHandler {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(self.clone().reply(request))
    }
}
