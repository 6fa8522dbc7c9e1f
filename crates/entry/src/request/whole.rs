//! Answers that are not streamed: committed only when whole.

use pumicecleat_types::{HeaderField, Ran};
use pumicecleat_upstream::{AnswerError, AnswerFault, Whole, check_whole};
use serde::Deserialize;

use super::attempt::{Part, lost};
use super::{AnswerHead, Attempt, Exchange, Failure};
use crate::api_error::ApiError;

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// An engine's error.
#[derive(Deserialize)]
struct EngineError {
    error: Option<EngineWords>,
    message: Option<String>,
}

#[derive(Deserialize)]
struct EngineWords {
    message: Option<String>,
}

impl Exchange {
    /// Whole answer within the deadline.
    ///
    /// # Errors
    /// The fault for the caller.
    pub(crate) async fn whole(&mut self) -> Result<Answer, ApiError> {
        let timer = self.timer().clone();
        let work = timer
            .within(self.patience(), Box::pin(self.try_whole()))
            .await;
        let Ok(result) = work else {
            return Err(self.late());
        };
        result
    }

    async fn try_whole(&mut self) -> Result<Answer, ApiError> {
        loop {
            match self.one_whole().await {
                Ok(answer) => return self.accept(answer),
                Err(failure) => Box::pin(self.settle(failure)).await?,
            }
        }
    }

    async fn one_whole(&mut self) -> Result<Answer, Failure> {
        let left = self.left();
        let (attempt, head) = self.attempt(self.job.body(), left).await?;
        self.collect(attempt, head).await
    }

    /// Reads an answer to its end.
    pub(crate) async fn collect(
        &mut self,
        mut attempt: Attempt,
        head: AnswerHead,
    ) -> Result<Answer, Failure> {
        let body = match self.read_body(&mut attempt).await {
            Ok(body) => body,
            Err(failure) => return Err(attempt.fail(failure)),
        };
        match self.check(&attempt, &head, &body) {
            Ok(Some(whole)) => self.note_usage(whole.usage),
            Ok(None) => {}
            Err(failure) => return Err(attempt.fail(failure)),
        }
        attempt.finish(&self.shared).await;
        // An engine that can't take a body ran nothing.
        let refused = head.is_error() && self.job.engine().is_some();
        self.history.end(if refused { Ran::No } else { Ran::Yes });
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn read_body(&self, attempt: &mut Attempt) -> Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        loop {
            let part = attempt.next_part();
            match part.await? {
                Part::End(load) => {
                    attempt.learn(&self.shared, load);
                    return Ok(body);
                }
                Part::Data(bytes) if body.is_empty() => body = bytes,
                Part::Data(bytes) => body.extend_from_slice(&bytes),
            }
            let limit = self.shared.options.max_answer_bytes;
            if body.len() > limit {
                let error = format!("peer {}: over {limit} bytes", attempt.destination.address);
                return Err(lost(Ran::Yes, "read answer", error));
            }
        }
    }

    /// What a model's answer tells of itself; `None` for others and for errors.
    fn check(
        &self,
        attempt: &Attempt,
        head: &AnswerHead,
        body: &[u8],
    ) -> Result<Option<Whole>, Failure> {
        let Some(engine) = self.job.engine() else {
            return Ok(None);
        };
        if head.is_error() {
            return Ok(None);
        }
        let expect = attempt.expect(&self.job, engine);
        let checked = check_whole(expect, body);
        checked.map(Some).map_err(|e| answer_failure(&e))
    }

    /// An engine's word on a body that it can't take becomes a fault; all else is passed on.
    pub(crate) fn accept(&self, answer: Answer) -> Result<Answer, ApiError> {
        if self.job.engine().is_none() || answer.is_success() {
            return Ok(answer);
        }
        let message = engine_words(&answer.body);
        let message = message.unwrap_or_else(|| "the engine can't take this body".to_owned());
        let fault = ApiError::rejected(answer.status, "engine_refused", message);
        Err(self.history.truthful(fault))
    }
}

/// Failure of an attempt whose answer is wrong.
pub(crate) fn answer_failure(error: &AnswerError) -> Failure {
    match &error.source {
        AnswerFault::Model { expected, found } | AnswerFault::Crossed { expected, found } => {
            Failure::Mismatch {
                asked: expected.clone(),
                answered: found.clone(),
            }
        }
        _ => lost(Ran::Unknown, "check answer", error.to_string()),
    }
}

fn engine_words(body: &[u8]) -> Option<String> {
    let error: EngineError = serde_json::from_slice(body).ok()?;
    error.error.and_then(|e| e.message).or(error.message)
}
