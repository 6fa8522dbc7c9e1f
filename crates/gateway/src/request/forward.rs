//! Forwarding of a response to the caller.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::stream::unfold;
use pumicecleat_net::{Body, BodyError, Buffer, MemoryBudget, Reply, Response};

use super::hop_headers::strip_hop_headers;
use super::trace::RequestTrace;
use crate::table::InFlight;

/// Maximum size of a response that is buffered until it is complete; a longer one is forwarded as it arrives.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Response with the status and headers that the upstream sent, and an empty body.
pub(super) fn response_head(response: &Response) -> Reply {
    let mut reply = Reply::new(Body::whole(Bytes::new()));
    *reply.status_mut() =
        http::StatusCode::from_u16(response.status()).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let mut headers = response.headers().clone();
    strip_hop_headers(&mut headers);
    *reply.headers_mut() = headers;
    reply
}

/// A response that was read completely, or up to the size of the buffer.
pub(super) enum Buffered {
    Complete(Reply),
    /// The response exceeds the buffer, or there is no memory for it. Holds the pieces read so far.
    Oversized(Response, VecDeque<Bytes>),
}

/// Reads a response into the buffer, so that an incomplete one is never forwarded.
pub(super) async fn buffer(
    mut response: Response,
    budget: &MemoryBudget,
) -> Result<Buffered, BodyError> {
    let mut buffer = Buffer::new_ext(budget, MAX_BUFFERED_BYTES);
    while let Some(chunk) = response.next().await {
        let chunk = chunk?;
        let is_long = buffer.len() + chunk.len() > MAX_BUFFERED_BYTES;
        if is_long || !buffer.try_push(&chunk) {
            let pieces = VecDeque::from([buffer.freeze(), chunk]);
            return Ok(Buffered::Oversized(response, pieces));
        }
    }
    let mut reply = response_head(&response);
    *reply.body_mut() = Body::whole(buffer.freeze());
    Ok(Buffered::Complete(reply))
}

struct ForwardedBody {
    response: Response,
    prefix: VecDeque<Bytes>,
    trace: RequestTrace,
    in_flight: InFlight,
    status: u16,
    begun: bool,
}

/// Forwards a response as it arrives, after the pieces of `prefix`.
pub(super) fn forward(
    response: Response,
    prefix: VecDeque<Bytes>,
    trace: RequestTrace,
    in_flight: InFlight,
) -> Reply {
    let mut reply = response_head(&response);
    let body = ForwardedBody {
        status: response.status(),
        response,
        prefix,
        trace,
        in_flight,
        begun: false,
    };
    let chunks = unfold(Some(body), |body| async move {
        let mut body = body?;
        let chunk = body.next().await?;
        let state = chunk.is_ok().then_some(body);
        Some((chunk, state))
    });
    *reply.body_mut() = Body::Stream(Box::pin(chunks));
    reply
}

impl ForwardedBody {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        while let Some(piece) = self.prefix.pop_front() {
            if !piece.is_empty() {
                self.mark_begun();
                return Some(Ok(piece));
            }
        }
        let chunk = self.response.next().await;
        match &chunk {
            Some(Ok(_)) => {
                self.trace.record_progress();
                self.mark_begun();
            }
            Some(Err(e)) => {
                self.trace.record_broken_body(e);
                self.trace.log_passed_on(self.status, Some(e));
            }
            None => {
                self.trace.log_passed_on(self.status, None);
                if self.status == 200 {
                    self.trace.record_served();
                }
            }
        }
        chunk
    }

    fn mark_begun(&mut self) {
        if !self.begun {
            self.begun = true;
            self.trace.record_first_byte();
            self.in_flight.mark_begun();
        }
    }
}
