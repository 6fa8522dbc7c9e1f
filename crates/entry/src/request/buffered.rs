//! Responses that are not streamed. They are returned to the caller only once complete.

use pumicecleat_types::{HeaderField, Ran};
use pumicecleat_upstream::{CompletionSummary, ResponseError, ResponseErrorKind, check_completion};
use serde::Deserialize;

use super::attempt::{BodyPart, lost_failure};
use super::{Attempt, Exchange, Failure, ResponseHead};
use crate::api_error::ApiError;

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Vec<u8>,
}

impl BufferedResponse {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Error body of an engine.
#[derive(Deserialize)]
struct EngineError {
    error: Option<EngineErrorDetail>,
    message: Option<String>,
}

#[derive(Deserialize)]
struct EngineErrorDetail {
    message: Option<String>,
}

impl Exchange {
    /// Returns the complete response, within the deadline.
    ///
    /// # Errors
    /// The fault for the caller.
    pub(crate) async fn buffered_response(&mut self) -> Result<BufferedResponse, ApiError> {
        let timer = self.timer().clone();
        let work = timer
            .within(self.timeout(), Box::pin(self.try_buffered()))
            .await;
        let Ok(result) = work else {
            return Err(self.deadline_fault());
        };
        result
    }

    async fn try_buffered(&mut self) -> Result<BufferedResponse, ApiError> {
        loop {
            match self.attempt_buffered().await {
                Ok(response) => return self.accept_response(response),
                Err(failure) => Box::pin(self.handle_failure(failure)).await?,
            }
        }
    }

    async fn attempt_buffered(&mut self) -> Result<BufferedResponse, Failure> {
        let time_left = self.time_left();
        let (attempt, head) = self
            .send_attempt(self.job.upstream_body(), time_left)
            .await?;
        self.read_response(attempt, head).await
    }

    /// Reads a response to its end.
    pub(crate) async fn read_response(
        &mut self,
        mut attempt: Attempt,
        head: ResponseHead,
    ) -> Result<BufferedResponse, Failure> {
        let body = match self.read_body(&mut attempt).await {
            Ok(body) => body,
            Err(failure) => return Err(attempt.fail(failure)),
        };
        match self.check_response(&attempt, &head, &body) {
            Ok(Some(whole)) => self.record_usage(whole.usage),
            Ok(None) => {}
            Err(failure) => return Err(attempt.fail(failure)),
        }
        attempt.finish(&self.shared).await;
        // An engine that rejects the body does not run the request.
        let refused = head.is_error() && self.job.engine_name().is_some();
        self.history
            .end_attempt(if refused { Ran::No } else { Ran::Yes });
        Ok(BufferedResponse {
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
                BodyPart::End(load) => {
                    attempt.update_load(&self.shared, load);
                    return Ok(body);
                }
                BodyPart::Data(bytes) if body.is_empty() => body = bytes,
                BodyPart::Data(bytes) => body.extend_from_slice(&bytes),
            }
            let limit = self.shared.options.max_answer_bytes;
            if body.len() > limit {
                let error = format!(
                    "peer {}: response exceeds {limit} bytes",
                    attempt.destination.address
                );
                return Err(lost_failure(Ran::Yes, "read answer", error));
            }
        }
    }

    /// Checks the response of a model and returns its metadata; `None` for plain services and for
    /// errors.
    fn check_response(
        &self,
        attempt: &Attempt,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<Option<CompletionSummary>, Failure> {
        let Some(engine_name) = self.job.engine_name() else {
            return Ok(None);
        };
        if head.is_error() {
            return Ok(None);
        }
        let expect = attempt.expected_response(&self.job, engine_name);
        let checked = check_completion(expect, body);
        checked.map(Some).map_err(|e| response_failure(&e))
    }

    /// Turns the error of an engine that rejects the body into a fault. Other responses are
    /// returned unchanged.
    pub(crate) fn accept_response(
        &self,
        response: BufferedResponse,
    ) -> Result<BufferedResponse, ApiError> {
        if self.job.engine_name().is_none() || response.is_success() {
            return Ok(response);
        }
        let message = engine_error_message(&response.body);
        let message = message.unwrap_or_else(|| "the engine can't take this body".to_owned());
        let fault = ApiError::rejected(response.status, "engine_refused", message);
        Err(self.history.raise_ran(fault))
    }
}

/// Failure of an attempt whose response did not pass the checks.
pub(crate) fn response_failure(error: &ResponseError) -> Failure {
    match &error.source {
        ResponseErrorKind::ModelMismatch { expected, found }
        | ResponseErrorKind::IdMismatch { expected, found } => Failure::Mismatch {
            expected: expected.clone(),
            found: found.clone(),
        },
        _ => lost_failure(Ran::Unknown, "check answer", error.to_string()),
    }
}

fn engine_error_message(body: &[u8]) -> Option<String> {
    let error: EngineError = serde_json::from_slice(body).ok()?;
    error.error.and_then(|e| e.message).or(error.message)
}
