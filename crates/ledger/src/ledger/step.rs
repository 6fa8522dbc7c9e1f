//! State transitions of an own attempt. Only a [`SendPermit`] can be sent, and only a
//! [`SentAttempt`] gets an outcome.

use pumicecleat_types::Millis;
use snafu::{OptionExt, ensure};

use super::Ledger;
use super::error::{AlreadySentSnafu, DeadlinePassedSnafu, NotOpenSnafu, StepError};
use super::own_attempt::{OwnAttempt, Phase};
use crate::{Attempt, Done, Outcome, Record};

/// Permission to send an attempt. Clones are useless: the ledger accepts only one of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[must_use = "send or abandon the attempt"]
pub struct SendPermit {
    attempt: Attempt,
}

/// An attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[must_use = "it needs an outcome, known or unknown"]
pub struct SentAttempt {
    attempt: Attempt,
}

/// Proof that an attempt was not run and never will be; its caller may be told so.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NotRunProof {
    attempt: Attempt,
}

impl SendPermit {
    pub(super) fn new(attempt: Attempt) -> Self {
        Self { attempt }
    }

    /// Attempt that may be sent.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }
}

impl SentAttempt {
    /// Attempt that was sent.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }
}

impl NotRunProof {
    /// Attempt that was not run.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }
}

impl Ledger {
    /// Marks a won attempt as sent. Must be called just before the first byte goes to the upstream.
    ///
    /// # Errors
    /// [`StepError::DeadlinePassed`] if its deadline has passed; [`StepError::NotOpen`] if it was
    /// abandoned and [`StepError::AlreadySent`] if it was sent before.
    pub fn mark_sent(&mut self, permit: SendPermit, now: Millis) -> Result<SentAttempt, StepError> {
        let step = "send";
        let attempt = permit.attempt;
        let own = self.unsent_own(step, &attempt)?;
        let deadline = own.deadline;
        if deadline <= now {
            self.abandon_own(&attempt);
            return DeadlinePassedSnafu {
                step,
                attempt,
                deadline,
            }
            .fail();
        }
        own.phase = Phase::Sent;
        Ok(SentAttempt { attempt })
    }

    /// Ends an attempt that was sent. Returns the record to append, which is also one of the
    /// [pending records](Ledger::pending_records) until it is read back.
    ///
    /// # Errors
    /// [`StepError::NotOpen`] if it already has an outcome.
    pub fn finish(&mut self, sent: SentAttempt, outcome: Outcome) -> Result<&Record, StepError> {
        let attempt = sent.attempt;
        let own = self.own_attempts.remove(&attempt);
        let own = own.with_context(|| NotOpenSnafu {
            step: "finish",
            attempt: attempt.clone(),
        })?;
        let done = Done {
            attempt: attempt.clone(),
            key: own.key,
            digest: own.digest,
            outcome,
        };
        Ok(self
            .pending_records
            .entry(attempt)
            .or_insert(Record::Done(done)))
    }

    /// Reverts a send of which the transport proves that no byte left. The attempt is abandoned, as
    /// by [`abandon`](Ledger::abandon).
    ///
    /// # Errors
    /// [`StepError::NotOpen`] if it already has an outcome.
    pub fn revert_send(&mut self, sent: SentAttempt) -> Result<NotRunProof, StepError> {
        let attempt = sent.attempt;
        let is_own = self.own_attempts.contains_key(&attempt);
        ensure!(
            is_own,
            NotOpenSnafu {
                step: "take back",
                attempt
            }
        );
        self.abandon_own(&attempt);
        Ok(NotRunProof { attempt })
    }

    /// Abandons an attempt that was not sent, so that it never will be. If its intent is in the
    /// stream now or appears later, an [`Abandon`](crate::Abandon) becomes a
    /// [pending record](Ledger::pending_records).
    ///
    /// # Errors
    /// [`StepError::AlreadySent`] if it was sent; [`StepError::NotOpen`] if it has ended.
    pub fn abandon(&mut self, attempt: &Attempt) -> Result<NotRunProof, StepError> {
        self.unsent_own("void", attempt)?;
        self.abandon_own(attempt);
        Ok(NotRunProof {
            attempt: attempt.clone(),
        })
    }

    /// Own attempt, if it was not sent.
    fn unsent_own(
        &mut self,
        step: &'static str,
        attempt: &Attempt,
    ) -> Result<&mut OwnAttempt, StepError> {
        let own = self.own_attempts.get_mut(attempt);
        let own = own.with_context(|| NotOpenSnafu {
            step,
            attempt: attempt.clone(),
        })?;
        ensure!(
            own.phase != Phase::Sent,
            AlreadySentSnafu {
                step,
                attempt: attempt.clone()
            }
        );
        Ok(own)
    }

    /// Abandons an own attempt. An intent that is not in the stream yet is abandoned when it is
    /// read.
    pub(super) fn abandon_own(&mut self, attempt: &Attempt) {
        let Some(own) = self.own_attempts.remove(attempt) else {
            return;
        };
        if self.keys.contains(&own.key, attempt) {
            self.queue_abandon(attempt, &own.key);
        }
    }
}
