//! Claims the key of a call: admission by the ledger, the append of the intent, and the wait until
//! it is read back.

use std::pin::pin;
use std::time::Duration;

use async_channel::Receiver;
use futures_util::future::{Either, select};
use pumicecleat_ledger::{
    Admission, Attempt, Call, Event, Intent, Outcome, Record, SendPermit, Verdict,
};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, Reason};

use super::KeyCall;
use super::part::{Part, refusal_reason};
use crate::state::unix_time;

/// Longest wait for another attempt in progress with the same key.
const MAX_BUSY_WAIT: Millis = Millis(1_000);
const BUSY_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Result of claiming a key.
#[derive(Debug)]
pub(crate) enum Claim {
    /// The call may be sent.
    Won(SendPermit),
    /// An earlier attempt ran; its outcome is passed on.
    Replay(Outcome),
    /// The call is not run.
    Refused(Reason),
}

impl Part {
    /// Claims a call's key.
    pub(crate) async fn claim(&self, call: &KeyCall<'_>) -> Claim {
        if !self.state.log_up.get() {
            return Claim::Refused(Reason::LogDown);
        }
        let deadline = self.state.timer.now() + call.time_left;
        let busy_until = self.state.timer.now() + MAX_BUSY_WAIT.min(call.time_left);
        let mut claim = self.try_claim(call, deadline).await;
        // A repeat soon after the first attempt gets that attempt's answer if it comes in time.
        while matches!(claim, Claim::Refused(Reason::KeyBusy))
            && self.state.timer.now() < busy_until
        {
            self.state.timer.sleep(BUSY_RETRY_INTERVAL).await;
            claim = self.try_claim(call, deadline).await;
        }
        self.log_claim(call, &claim);
        claim
    }

    async fn try_claim(&self, call: &KeyCall<'_>, deadline: Millis) -> Claim {
        let time_left = deadline.since(self.state.timer.now());
        match self.admit(call, time_left) {
            Ok(intent) => self.append_intent(intent, time_left).await,
            Err(claim) => claim,
        }
    }

    fn admit(&self, call: &KeyCall<'_>, time_left: Millis) -> Result<Intent, Claim> {
        let now = unix_time();
        let call = Call {
            key: call.key,
            digest: call.digest,
            now,
            deadline: now + time_left,
        };
        let mut ledger = self.state.ledger.borrow_mut();
        match ledger.admit(&call) {
            Admission::Claim(intent) => Ok(intent),
            Admission::Replay(outcome) => Err(Claim::Replay(outcome.clone())),
            Admission::Refuse(reason) => Err(Claim::Refused(reason)),
        }
    }

    async fn append_intent(&self, intent: Intent, time_left: Millis) -> Claim {
        let attempt = intent.attempt.clone();
        let (sender, decided) = async_channel::bounded(1);
        self.state
            .waiting
            .borrow_mut()
            .insert(attempt.clone(), sender);
        let timeout = Duration::from_millis(time_left.0);
        let decision = pin!(self.state.timer.within(timeout, decided.recv()));
        let refusal = pin!(self.append_until_refused(intent));
        let event = select(decision, refusal).await;
        self.state.waiting.borrow_mut().remove(&attempt);
        match event {
            Either::Left((Ok(Ok(event)), _)) => claim_from_event(event),
            // The intent was not read back in time, or the log refused it.
            _ => self.void(&attempt, &decided),
        }
    }

    /// Appends an intent. Returns only if the log definitely refused it; after any other result,
    /// what is read back decides.
    async fn append_until_refused(&self, intent: Intent) {
        let data = Record::encode_batch(&[Record::Intent(intent)]);
        let written = self.state.appender.append(data).await;
        self.log_append_error(written.as_ref().err());
        if !written.is_err_and(|e| e.is_refusal()) {
            std::future::pending::<()>().await;
        }
    }

    /// Voids the attempt before it is reported as not run.
    fn void(&self, attempt: &Attempt, decided: &Receiver<Event>) -> Claim {
        let voided = self.state.ledger.borrow_mut().abandon(attempt);
        self.wake_writer();
        match (voided, decided.try_recv()) {
            (Ok(_), _) => Claim::Refused(Reason::LogDown),
            // Decided between the timeout and the void.
            (Err(_), Ok(event)) => claim_from_event(event),
            (Err(e), Err(_)) => Claim::Refused(refusal_reason(&e)),
        }
    }

    fn log_claim(&self, call: &KeyCall<'_>, claim: &Claim) {
        let request = field("request", call.request);
        let key = field("key", call.key.text());
        match claim {
            Claim::Won(_) => self.state.events.emit(&events::KEY_WON, &[request, key]),
            Claim::Replay(_) => self
                .state
                .events
                .emit(&events::KEY_REPLAYED, &[request, key]),
            Claim::Refused(reason) => {
                let state = format!("{reason:?}");
                let fields = [request, key, field("state", &state)];
                self.state.events.emit(&events::KEY_HELD, &fields);
            }
        }
    }
}

fn claim_from_event(event: Event) -> Claim {
    match event {
        Event::Won(won) => Claim::Won(won),
        Event::Lost {
            verdict: Verdict::Replay(outcome),
            ..
        } => Claim::Replay(outcome),
        Event::Lost {
            verdict: Verdict::Refuse(reason),
            ..
        } => Claim::Refused(reason),
        Event::Unreadable { .. } => Claim::Refused(Reason::LogDown),
    }
}
