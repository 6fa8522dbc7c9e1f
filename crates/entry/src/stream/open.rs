//! Attempts until the first bytes of a stream are there.

use pumicecleat_types::Ran;

use super::feed::{Fed, Feed};
use super::relay::Relay;
use crate::api_error::ApiError;
use crate::request::{Answer, Exchange, Failure};

/// What a streamed request comes to before anything is sent to its caller.
pub(crate) enum Opened {
    /// Bytes are there.
    Stream(Box<Relay>),
    /// The upstream answered by something else than a stream.
    Whole(Answer, Exchange),
    /// Nothing follows.
    Fault(ApiError, Exchange),
}

/// One attempt's beginning.
enum Begun {
    Fed(Box<Feed>, Fed),
    Whole(Answer),
}

/// Tries until the first bytes are there, within the deadline.
pub(crate) async fn open(mut exchange: Exchange) -> Opened {
    let timer = exchange.timer().clone();
    let work = timer.within(exchange.patience(), Box::pin(try_open(&mut exchange)));
    match work.await {
        Ok(Ok(Begun::Fed(feed, first))) => {
            exchange.history.end(Ran::Yes);
            Opened::Stream(Box::new(Relay::new(exchange, *feed, first)))
        }
        Ok(Ok(Begun::Whole(answer))) => match exchange.accept(answer) {
            Ok(answer) => Opened::Whole(answer, exchange),
            Err(fault) => Opened::Fault(fault, exchange),
        },
        Ok(Err(fault)) => Opened::Fault(fault, exchange),
        Err(_) => Opened::Fault(exchange.late(), exchange),
    }
}

async fn try_open(exchange: &mut Exchange) -> Result<Begun, ApiError> {
    loop {
        match one_open(exchange).await {
            Ok(begun) => return Ok(begun),
            Err(failure) => Box::pin(exchange.settle(failure)).await?,
        }
    }
}

async fn one_open(exchange: &mut Exchange) -> Result<Begun, Failure> {
    let left = exchange.left();
    let body = exchange.job.body();
    // Boxed, as are the parts after it, so that a waiting request holds room for one of them only.
    let (attempt, head) = Box::pin(exchange.attempt(body, left)).await?;
    if head.is_error() {
        let answer = Box::pin(exchange.collect(attempt, head)).await?;
        return Ok(Begun::Whole(answer));
    }
    let mut feed = Feed::new(attempt, &exchange.job);
    match Box::pin(feed.next(&exchange.shared)).await {
        Ok(first) => Ok(Begun::Fed(Box::new(feed), first)),
        Err(failure) => Err(feed.fail(failure)),
    }
}
