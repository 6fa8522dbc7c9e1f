//! Forwarding of a response to the caller.

use bytes::Bytes;
use futures_util::stream::unfold;
use pumicecleat_net::{Body, BodyError, Reply, Response};

use super::head::strip;
use super::trail::Trail;
use crate::table::UnderWay;

/// Maximum size of a response that is buffered until it is complete; a longer one is forwarded as it arrives.
const HELD: usize = 256 * 1024;

/// Response with the status and headers that the upstream sent, and an empty body.
pub(super) fn head(response: &Response) -> Reply {
    let mut reply = Reply::new(Body::whole(Bytes::new()));
    *reply.status_mut() =
        http::StatusCode::from_u16(response.status()).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let mut headers = response.headers().clone();
    strip(&mut headers);
    *reply.headers_mut() = headers;
    reply
}

/// A response that was read completely, or up to the size of the buffer.
pub(super) enum Held {
    Whole(Reply),
    /// The response exceeds the buffer. Holds the bytes read so far.
    Long(Response, Vec<u8>),
}

/// Reads a response into the buffer, so that an incomplete one is never forwarded.
pub(super) async fn hold(mut response: Response) -> Result<Held, BodyError> {
    let mut bytes = Vec::new();
    while let Some(piece) = response.next().await {
        bytes.extend_from_slice(&piece?);
        if bytes.len() > HELD {
            return Ok(Held::Long(response, bytes));
        }
    }
    let mut reply = head(&response);
    *reply.body_mut() = Body::whole(bytes);
    Ok(Held::Whole(reply))
}

struct Relay {
    response: Response,
    start: Option<Bytes>,
    trail: Trail,
    under_way: UnderWay,
    status: u16,
    begun: bool,
}

/// Forwards a response as it arrives, after the bytes of `prefix`.
pub(super) fn pass(response: Response, start: Vec<u8>, trail: Trail, under_way: UnderWay) -> Reply {
    let mut reply = head(&response);
    let relay = Relay {
        status: response.status(),
        response,
        start: (!start.is_empty()).then(|| Bytes::from(start)),
        trail,
        under_way,
        begun: false,
    };
    let pieces = unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        let piece = relay.next().await?;
        let rest = piece.is_ok().then_some(relay);
        Some((piece, rest))
    });
    *reply.body_mut() = Body::Stream(Box::pin(pieces));
    reply
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if let Some(start) = self.start.take() {
            self.begin();
            return Some(Ok(start));
        }
        let piece = self.response.next().await;
        match &piece {
            Some(Ok(_)) => self.begin(),
            Some(Err(_)) => {
                self.trail.broke();
                self.trail.passed_on(self.status, false);
            }
            None => {
                self.trail.passed_on(self.status, true);
                if self.status == 200 {
                    self.trail.served();
                }
            }
        }
        piece
    }

    fn begin(&mut self) {
        if !self.begun {
            self.begun = true;
            self.trail.first();
            self.under_way.begun();
        }
    }
}
