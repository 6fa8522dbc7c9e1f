//! A call's way to its turn: admission, the intent in the log, and the wait for its reading back.

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
use super::part::{Part, step_reason};
use crate::state::wall_clock;

/// Longest wait for an attempt that runs with the same key.
const BUSY_SPAN: Millis = Millis(1_000);
const BUSY_PAUSE: Duration = Duration::from_millis(10);

/// What a key allows.
#[derive(Debug)]
pub(crate) enum Claim {
    /// Send it.
    Won(SendPermit),
    /// Pass on what came of an earlier attempt.
    Replay(Outcome),
    /// Not run.
    Refused(Reason),
}

impl Part {
    /// Claims a call's key.
    pub(crate) async fn claim(&self, call: &KeyCall<'_>) -> Claim {
        if !self.state.up.get() {
            return Claim::Refused(Reason::LogDown);
        }
        let until = self.state.timer.now() + call.left;
        let patience = self.state.timer.now() + BUSY_SPAN.min(call.left);
        let mut claim = self.try_claim(call, until).await;
        // A repeat close behind its first attempt gets the answer of that, if it comes soon.
        while matches!(claim, Claim::Refused(Reason::KeyBusy)) && self.state.timer.now() < patience
        {
            self.state.timer.sleep(BUSY_PAUSE).await;
            claim = self.try_claim(call, until).await;
        }
        self.note(call, &claim);
        claim
    }

    async fn try_claim(&self, call: &KeyCall<'_>, until: Millis) -> Claim {
        let left = until.since(self.state.timer.now());
        match self.admit(call, left) {
            Ok(intent) => self.append(intent, left).await,
            Err(claim) => claim,
        }
    }

    fn admit(&self, call: &KeyCall<'_>, left: Millis) -> Result<Intent, Claim> {
        let now = wall_clock();
        let call = Call {
            key: call.key,
            digest: call.digest,
            now,
            deadline: now + left,
        };
        let mut ledger = self.state.ledger.borrow_mut();
        match ledger.admit(&call) {
            Admission::Claim(intent) => Ok(intent),
            Admission::Replay(outcome) => Err(Claim::Replay(outcome.clone())),
            Admission::Refuse(reason) => Err(Claim::Refused(reason)),
        }
    }

    async fn append(&self, intent: Intent, left: Millis) -> Claim {
        let attempt = intent.attempt.clone();
        let (sender, decided) = async_channel::bounded(1);
        self.state
            .waiting
            .borrow_mut()
            .insert(attempt.clone(), sender);
        let span = Duration::from_millis(left.0);
        let decision = pin!(self.state.timer.within(span, decided.recv()));
        let refusal = pin!(self.refusal(intent));
        let event = select(decision, refusal).await;
        self.state.waiting.borrow_mut().remove(&attempt);
        match event {
            Either::Left((Ok(Ok(event)), _)) => claim_of(event),
            // The log did not carry the intent in time, or refused it.
            _ => self.void(&attempt, &decided),
        }
    }

    /// Appends an intent; ends only if the log refused it for good. What counts of any other word
    /// is what is read back.
    async fn refusal(&self, intent: Intent) {
        let data = Record::encode_batch(&[Record::Intent(intent)]);
        let written = self.state.appender.append(data).await;
        self.note_append(written.as_ref().err());
        if !written.is_err_and(|e| e.is_refusal()) {
            std::future::pending::<()>().await;
        }
    }

    /// Makes the attempt impossible before it is told as not run.
    fn void(&self, attempt: &Attempt, decided: &Receiver<Event>) -> Claim {
        let voided = self.state.ledger.borrow_mut().abandon(attempt);
        self.wake();
        match (voided, decided.try_recv()) {
            (Ok(_), _) => Claim::Refused(Reason::LogDown),
            // Decided between the timeout and the void.
            (Err(_), Ok(event)) => claim_of(event),
            (Err(e), Err(_)) => Claim::Refused(step_reason(&e)),
        }
    }

    fn note(&self, call: &KeyCall<'_>, claim: &Claim) {
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

fn claim_of(event: Event) -> Claim {
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
