//! Steps of an own attempt. Only a [`SendPermit`] can be sent, and only a [`SentAttempt`] has an outcome.

use pumicecleat_types::Millis;
use snafu::{OptionExt, ensure};

use super::Ledger;
use super::error::{AlreadySentSnafu, DeadlinePassedSnafu, NotOpenSnafu, StepError};
use super::own::{Own, Phase};
use crate::{Attempt, Done, Outcome, Record};

/// Leave to send an attempt. A clone is of no use: the ledger takes one of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[must_use = "send it, or void it"]
pub struct SendPermit {
    attempt: Attempt,
}

/// An attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[must_use = "it needs an outcome, known or unknown"]
pub struct SentAttempt {
    attempt: Attempt,
}

/// Leave to tell a caller that an attempt was not run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NotRunProof {
    attempt: Attempt,
}

impl SendPermit {
    pub(super) fn new(attempt: Attempt) -> Self {
        Self { attempt }
    }

    /// Attempt.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }
}

impl SentAttempt {
    /// Attempt.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }
}

impl NotRunProof {
    /// Attempt.
    #[must_use]
    pub fn attempt(&self) -> &Attempt {
        &self.attempt
    }
}

impl Ledger {
    /// Notes that a won attempt goes to the upstream now: call it just before the first byte.
    ///
    /// # Errors
    /// [`StepError::DeadlinePassed`] once its deadline has passed; [`StepError::NotOpen`] or
    /// [`StepError::AlreadySent`] if it was voided or sent before.
    pub fn mark_sent(&mut self, won: SendPermit, now: Millis) -> Result<SentAttempt, StepError> {
        let step = "send";
        let attempt = won.attempt;
        let own = self.own_mut(step, &attempt)?;
        let deadline = own.deadline;
        if deadline <= now {
            self.drop_own(&attempt);
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

    /// Ends an attempt that was sent. Gives the record to append; it stays [owed](Ledger::pending_records).
    ///
    /// # Errors
    /// [`StepError::NotOpen`] if it has an outcome already.
    pub fn finish(&mut self, sent: SentAttempt, outcome: Outcome) -> Result<&Record, StepError> {
        let attempt = sent.attempt;
        let own = self.own.remove(&attempt);
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
        Ok(self.owed.entry(attempt).or_insert(Record::Done(done)))
    }

    /// Takes back a send that failed before a byte left, by the transport's proof. The attempt is
    /// void from then on, as by [`abandon`](Ledger::abandon).
    ///
    /// # Errors
    /// [`StepError::NotOpen`] if it has an outcome already.
    pub fn revert_send(&mut self, sent: SentAttempt) -> Result<NotRunProof, StepError> {
        let attempt = sent.attempt;
        let known = self.own.contains_key(&attempt);
        ensure!(
            known,
            NotOpenSnafu {
                step: "take back",
                attempt
            }
        );
        self.drop_own(&attempt);
        Ok(NotRunProof { attempt })
    }

    /// Gives up an attempt that was not sent: it never will be. Its intent, if it is in the
    /// stream now or turns up later, is abandoned by an [owed](Ledger::pending_records) record.
    ///
    /// # Errors
    /// [`StepError::AlreadySent`] if it was sent; [`StepError::NotOpen`] if it has ended.
    pub fn abandon(&mut self, attempt: &Attempt) -> Result<NotRunProof, StepError> {
        self.own_mut("void", attempt)?;
        self.drop_own(attempt);
        Ok(NotRunProof {
            attempt: attempt.clone(),
        })
    }

    /// Own attempt that was not sent.
    fn own_mut(&mut self, step: &'static str, attempt: &Attempt) -> Result<&mut Own, StepError> {
        let own = self.own.get_mut(attempt);
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

    /// Voids an own attempt. An intent that isn't in the stream yet is abandoned on sight.
    pub(super) fn drop_own(&mut self, attempt: &Attempt) {
        let Some(own) = self.own.remove(attempt) else {
            return;
        };
        if self.book.holds(&own.key, attempt) {
            self.owe_abandon(attempt, &own.key);
        }
    }
}
