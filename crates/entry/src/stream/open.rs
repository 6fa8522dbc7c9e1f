//! Makes attempts until the first bytes of a stream arrive.

use pumicecleat_types::Ran;

use super::event_reader::{EventBatch, EventReader};
use super::relay::Relay;
use crate::api_error::ApiError;
use crate::request::{BufferedResponse, Exchange, Failure};

/// Result of a streamed request before anything is sent to the caller.
pub(crate) enum StreamStart {
    /// The first bytes have arrived.
    Stream(Box<Relay>),
    /// The upstream returned a response that is not a stream.
    Buffered(BufferedResponse, Exchange),
    /// The request failed.
    Fault(ApiError, Exchange),
}

/// First result of one attempt.
enum FirstResponse {
    Events(Box<EventReader>, EventBatch),
    Buffered(BufferedResponse),
}

/// Makes attempts until the first bytes arrive, within the deadline.
pub(crate) async fn open_stream(mut exchange: Exchange) -> StreamStart {
    let timer = exchange.timer().clone();
    let work = timer.within(exchange.timeout(), Box::pin(try_open(&mut exchange)));
    match work.await {
        Ok(Ok(FirstResponse::Events(reader, first))) => {
            exchange.history.end_attempt(Ran::Yes);
            StreamStart::Stream(Box::new(Relay::new(exchange, *reader, first)))
        }
        Ok(Ok(FirstResponse::Buffered(response))) => match exchange.accept_response(response) {
            Ok(response) => StreamStart::Buffered(response, exchange),
            Err(fault) => StreamStart::Fault(fault, exchange),
        },
        Ok(Err(fault)) => StreamStart::Fault(fault, exchange),
        Err(_) => StreamStart::Fault(exchange.deadline_fault(), exchange),
    }
}

async fn try_open(exchange: &mut Exchange) -> Result<FirstResponse, ApiError> {
    loop {
        match attempt_open(exchange).await {
            Ok(response) => return Ok(response),
            Err(failure) => Box::pin(exchange.handle_failure(failure)).await?,
        }
    }
}

async fn attempt_open(exchange: &mut Exchange) -> Result<FirstResponse, Failure> {
    let time_left = exchange.time_left();
    let body = exchange.job.upstream_body();
    // This future and those below are boxed, so that a waiting request holds space for only one.
    let (attempt, head) = Box::pin(exchange.send_attempt(body, time_left)).await?;
    if head.is_error() {
        let response = Box::pin(exchange.read_response(attempt, head)).await?;
        return Ok(FirstResponse::Buffered(response));
    }
    let mut reader = EventReader::new(attempt, &exchange.job);
    match Box::pin(reader.next(&exchange.shared)).await {
        Ok(first) => Ok(FirstResponse::Events(Box::new(reader), first)),
        Err(failure) => Err(reader.fail(failure)),
    }
}
