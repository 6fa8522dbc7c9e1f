//! Handler of calls from gateways and other agents.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_net::{Handler, Incoming, Reply, peer_reply, plain_reply, read_all};
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{
    Admission, AllowanceDecision, AllowanceTerms, LimitSource, Slot, TurnId, TurnRequest,
};
use pumicecleat_types::{
    AllowanceAsk, AllowanceCall, AllowanceOutcome, AllowanceReply, Millis, OriginCall, OriginReply,
    Turn, TurnAsk, TurnCall, TurnRefusal, TurnReply, decode,
};

use crate::relay::{self, CANDIDATES_PATH, FIGURES_PATH, VIEW_PATH};
use crate::shared::Shared;
use crate::trial::{TRIAL_PATH, decide_trial};

/// Path at which gateways report the progress of requests and ask for turns.
const TURN_PATH: &str = "/peer/v1/turn";

/// Path at which gateways ask for units of accounts' allowances.
const ALLOWANCE_PATH: &str = "/peer/v1/allowance";

/// Path at which gateways keep and look up where streams began.
const ORIGIN_PATH: &str = "/peer/v1/origin";

/// Maximum size of a message in bytes. Enough for a few hundred IDs or the addresses of 10,000 engines.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;

/// Timeout for receiving a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Response for an instance that is not known to be this engine. The list of upstreams is read within half a
/// second.
const UNKNOWN_ENGINE: Turn = Turn::Refused {
    reason: TurnRefusal::NoEngine,
    retry_ms: 300,
};

/// Interval between checks whether the engine is available for a trial.
const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Response to a request on trial while other trials occupy the engine.
const TRIAL_IN_PROGRESS: Turn = Turn::Refused {
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

    async fn handle_request(self, mut request: Incoming) -> Reply {
        let path = request.uri().path().to_owned();
        let timer = &self.shared.timer;
        let body = request.body_mut();
        let bytes = match read_all(body, MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT, timer).await {
            Ok(bytes) => bytes,
            Err(e) => return plain_reply(e.status(), "message not whole\n"),
        };
        let reply = match path.as_str() {
            TURN_PATH => match decode(&bytes) {
                Ok(call) => Ok(self.handle_turn_call(call).await),
                Err(e) => Err(e),
            },
            ALLOWANCE_PATH => decode(&bytes).map(|call| self.handle_allowance_call(&call)),
            ORIGIN_PATH => decode(&bytes).map(|call| self.handle_origin_call(&call)),
            TRIAL_PATH => decode(&bytes).map(|call| peer_reply(&decide_trial(&self.shared, &call))),
            VIEW_PATH => {
                decode(&bytes).map(|call| peer_reply(&relay::answer_view(&self.shared, call)))
            }
            CANDIDATES_PATH => decode(&bytes)
                .map(|call| peer_reply(&relay::answer_candidates(&self.shared, &call))),
            FIGURES_PATH => {
                decode(&bytes).map(|call| peer_reply(&relay::answer_figures(&self.shared, &call)))
            }
            _ => return plain_reply(404, "unknown exchange\n"),
        };
        reply.unwrap_or_else(|e| plain_reply(400, &format!("{e}\n")))
    }

    fn handle_origin_call(&self, call: &OriginCall) -> Reply {
        let now = self.shared.timer.now();
        let mut origins = self.shared.origins.borrow_mut();
        for origin in &call.begun {
            origins.insert(origin, now);
        }
        let asked = call.ask.as_deref();
        peer_reply(&OriginReply {
            origin: asked.and_then(|request| origins.get(request, now)),
        })
    }

    fn handle_allowance_call(&self, call: &AllowanceCall) -> Reply {
        let now = self.shared.timer.now();
        let confirmed = self
            .shared
            .confirmations
            .latest_read(self.shared.timer.boot_now());
        let is_recent = confirmed.is_some_and(|read| read.age_ms <= call.max_age_ms);
        if call.max_age_ms > 0 && !is_recent {
            self.shared.wanted_age.set(Millis(call.max_age_ms));
            self.shared.read_wanted.notify();
        }
        let pool = if call.is_limit {
            &self.shared.limit_pool
        } else {
            &self.shared.allowances
        };
        let mut pool = pool.borrow_mut();
        pool.attach(call.entry.as_str(), call.entries, now);
        let outcome = call.ask.as_ref().map(|ask| {
            match pool.request(&ask.account, terms(ask), ask.units, now) {
                AllowanceDecision::Granted => AllowanceOutcome::Granted,
                AllowanceDecision::Refused(wait) => AllowanceOutcome::Refused { retry_ms: wait.0 },
            }
        });
        peer_reply(&AllowanceReply {
            entries: pool.gateway_count(now),
            confirmed,
            outcome,
        })
    }

    async fn handle_turn_call(&self, call: TurnCall) -> Reply {
        let timer = &self.shared.timer;
        let now = timer.now();
        self.shared.marks.merge(&call.marks, now);
        self.shared
            .recent_gateways
            .borrow_mut()
            .record_contact(&call.entry, now);
        self.shared
            .scheduler
            .borrow_mut()
            .set_peer_traits(&call.peer_traits);
        let news = call.suspects.as_ref();
        let suspects = news.map(|news| self.shared.suspects.exchange_news(news, now));
        self.apply_run_news(&call, now);
        if let Some(limit) = call.limit {
            let mut limits = self.shared.rate_limits.borrow_mut();
            limits.apply_news(&call.instance, limit, now);
        }
        // Also checked if no turn is asked for, because a gateway that knows the engine as a different instance
        // asks for none.
        let instance_matches = self.shared.check_instance(&call.instance);
        let turn = match call.ask {
            Some(ask) if instance_matches => Some(self.admit(ask, &call.instance).await),
            Some(ask) => {
                self.log_turn(&LoggedAsk::new(&ask, "unknown"), UNKNOWN_ENGINE, now);
                Some(UNKNOWN_ENGINE)
            }
            None => None,
        };
        let figures = self.shared.figures();
        let cached_adapters = self.shared.cached_adapters(call.cached_digest);
        peer_reply(&TurnReply {
            turn,
            figures,
            cached_adapters,
            entries: self.shared.recent_gateways.borrow().count(timer.now()),
            marks: self.shared.marks.to_message(timer.now()),
            suspects,
        })
    }

    fn apply_run_news(&self, call: &TurnCall, now: Millis) {
        if call.news.is_empty() {
            return;
        }
        let mut scheduler = self.shared.scheduler.borrow_mut();
        for news in &call.news {
            if news.ended {
                self.shared.suspects.end_trial(&news.request);
                scheduler.request_ended(&news.request);
            } else {
                scheduler.request_started(&news.request, now);
            }
        }
        drop(scheduler);
        self.shared.wake.notify();
    }

    /// Grants a turn within the engine's rate limit. A request without `stays` is refused instead of waiting for
    /// a slot, because another engine may accept it immediately.
    async fn admit(&self, mut ask: TurnAsk, instance: &str) -> Turn {
        let now = self.shared.timer.now();
        let max_wait = if ask.waits_for_slot {
            Millis(ask.objective_left_ms.min(ask.patience_ms))
        } else {
            Millis(0)
        };
        let source = LimitSource {
            instance,
            born: None,
        };
        let admission = self
            .shared
            .rate_limits
            .borrow_mut()
            .reserve(source, 1, max_wait, now);
        let slot = match admission {
            Admission::Unlimited => return self.wait_for_turn(ask).await,
            Admission::Reserved(slot) => slot,
            Admission::Refused(wait) => {
                let turn = Turn::Refused {
                    reason: TurnRefusal::Limited,
                    retry_ms: wait.0,
                };
                self.log_turn(&LoggedAsk::new(&ask, self.adapter_state(&ask)), turn, now);
                return turn;
            }
        };
        let mut guard = SlotReservation {
            shared: Rc::clone(&self.shared),
            instance: instance.to_owned(),
            slot: Some(slot),
        };
        self.shared
            .timer
            .sleep(Duration::from_millis(slot.wait.0))
            .await;
        ask.objective_left_ms = ask.objective_left_ms.saturating_sub(slot.wait.0);
        ask.patience_ms = ask.patience_ms.saturating_sub(slot.wait.0);
        let turn = self.wait_for_turn(ask).await;
        if matches!(turn, Turn::Granted { .. }) {
            guard.slot = None;
        }
        turn
    }

    async fn wait_for_turn(&self, ask: TurnAsk) -> Turn {
        let asked_at = self.shared.timer.now();
        if !self.wait_for_trial(&ask, asked_at).await {
            let asked = LoggedAsk::new(&ask, self.adapter_state(&ask));
            self.log_turn(&asked, TRIAL_IN_PROGRESS, asked_at);
            return TRIAL_IN_PROGRESS;
        }
        let (sender, receiver) = async_channel::bounded(1);
        let request_id = ask.request.clone();
        let asked = LoggedAsk::new(&ask, self.adapter_state(&ask));
        let turn_id = self.shared.scheduler.borrow_mut().enqueue(
            TurnRequest {
                request_id: ask.request,
                adapter: ask.adapter.clone(),
                min_version: ask.min_version,
                prompt_tokens: ask.prompt_tokens,
                priority: ask.priority,
                objective: Millis(ask.objective_ms),
                objective_left: Millis(ask.objective_left_ms),
                patience: Millis(ask.patience_ms),
                waits_for_slot: ask.waits_for_slot,
                pause: Millis(ask.pause_ms),
                account: ask.account,
            },
            asked_at,
        );
        self.shared.waiters.borrow_mut().insert(turn_id, sender);
        let guard = TurnGuard {
            shared: Rc::clone(&self.shared),
            request_id,
            turn_id,
            disarmed: false,
        };
        self.shared.wake.notify();
        let turn = receiver.recv().await;
        // The sender is dropped without an outcome only when the agent exits.
        let turn = turn.unwrap_or(UNKNOWN_ENGINE);
        self.log_turn(&asked, turn, asked_at);
        if matches!(turn, Turn::Refused { .. }) {
            self.shared.suspects.end_trial(&guard.request_id);
        }
        guard.disarm();
        turn
    }

    /// Whether the request may be sent as far as trials are concerned. A request on trial with `stays` waits until
    /// the engine is available.
    async fn wait_for_trial(&self, ask: &TurnAsk, asked_at: Millis) -> bool {
        let Some(trial) = ask.trial else {
            return true;
        };
        let timer = &self.shared.timer;
        let deadline = asked_at + Millis(ask.patience_ms);
        loop {
            let now = timer.now();
            if self
                .shared
                .suspects
                .try_start_trial(&ask.request, trial, now)
            {
                return true;
            }
            if !ask.waits_for_slot || now >= deadline {
                return false;
            }
            timer.sleep(TRIAL_CHECK_INTERVAL).await;
        }
    }

    /// State of the requested adapter at the engine, for the log.
    fn adapter_state(&self, ask: &TurnAsk) -> &'static str {
        let scheduler = self.shared.scheduler.borrow();
        let adapter = ask.adapter.as_deref();
        adapter.map_or("", |a| scheduler.adapter_state(a, ask.min_version).as_str())
    }

    fn log_turn(&self, asked: &LoggedAsk, turn: Turn, asked_at: Millis) {
        let waited = self.shared.timer.now().since(asked_at);
        self.shared.meters.turn_wait.observe(waited.as_secs());
        let figures = self.shared.figures();
        let unread = figures.unread_tokens;
        let unread_gauge = i64::try_from(unread).unwrap_or(i64::MAX);
        self.shared.meters.unread_tokens.set(unread_gauge);
        let request = field("request", asked.request.as_str());
        let adapter = field("adapter", asked.adapter.as_str());
        let account = field("account", asked.account.as_str());
        let hold = field("hold", asked.adapter_state);
        let waited = field("waited_ms", waited.0);
        let unread = field("unread", unread);
        let rate = field("rate", figures.traits.tokens_per_s);
        if !asked.account.is_empty() {
            let meters = &self.shared.meters;
            let counted = &self.shared.counted_accounts;
            counted.count(meters, &asked.account, turn);
        }
        match turn {
            Turn::Granted { .. } => self.shared.log.emit(
                &events::ENGINE_TURN,
                &[request, adapter, account, hold, waited, unread, rate],
            ),
            Turn::Refused { reason, retry_ms } => {
                let reason = field("reason", reason.as_str());
                let retry = field("retry_ms", retry_ms);
                let fields = [
                    request, adapter, account, hold, reason, waited, unread, rate, retry,
                ];
                self.shared.log.emit(&events::ENGINE_TURN_REFUSED, &fields);
            }
        }
    }
}

/// Limit of the account that an ask names.
fn terms(ask: &AllowanceAsk) -> AllowanceTerms {
    AllowanceTerms {
        number: ask.number,
        rate: ask.rate,
        burst: ask.burst,
        tolerance: ask.tolerance,
    }
}

/// Properties of a request for a turn that are logged with its outcome.
struct LoggedAsk {
    request: String,
    adapter: String,
    /// Client account; empty if the request names none.
    account: String,
    /// State of the adapter when the turn was asked for.
    adapter_state: &'static str,
}

impl LoggedAsk {
    fn new(ask: &TurnAsk, adapter_state: &'static str) -> Self {
        Self {
            request: ask.request.clone(),
            adapter: ask.adapter.clone().unwrap_or_default(),
            account: ask.account.clone().unwrap_or_default(),
            adapter_state,
        }
    }
}

/// Reserved slot of the engine's rate limit; released on drop unless `slot` was cleared.
struct SlotReservation {
    shared: Rc<Shared>,
    instance: String,
    slot: Option<Slot>,
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        if let Some(slot) = self.slot {
            let mut limits = self.shared.rate_limits.borrow_mut();
            limits.give_back(&self.instance, slot);
        }
    }
}

/// Withdraws the request for a turn on drop, if the gateway disconnects before it has the outcome.
struct TurnGuard {
    shared: Rc<Shared>,
    request_id: String,
    turn_id: TurnId,
    disarmed: bool,
}

impl TurnGuard {
    fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        self.shared.waiters.borrow_mut().remove(&self.turn_id);
        self.shared.suspects.end_trial(&self.request_id);
        let mut scheduler = self.shared.scheduler.borrow_mut();
        if !scheduler.cancel(self.turn_id) {
            scheduler.request_ended(&self.request_id);
        }
    }
}

impl Handler for PeerHandler {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(self.clone().handle_request(request))
    }
}
