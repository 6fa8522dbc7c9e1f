//! Replies that all stand-ins give, the wrong ones among them.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use pumicecleat_net::{Body, BodyError, Reply, Timer, json_reply};
use serde::Serialize;

/// Time for a cut reply's first part to leave before its connection closes.
const CUT_SPAN: Duration = Duration::from_millis(2);

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    code: u16,
}

/// Error in the form that model engines use.
pub(crate) fn error(status: u16, message: &str) -> Reply {
    let detail = ErrorDetail {
        message,
        r#type: kind(status),
        code: status,
    };
    json_reply(status, &ErrorBody { error: detail })
}

/// Reply to a path or method that is not served.
pub(crate) fn not_found() -> Reply {
    error(404, "no such path or method")
}

/// Refusal with `Retry-After` of one second.
pub(crate) fn retry_later(status: u16, message: &str) -> Reply {
    let mut reply = error(status, message);
    let value = HeaderValue::from_static("1");
    reply.headers_mut().insert(RETRY_AFTER, value);
    reply
}

/// Reply that closes the connection without a byte of answer.
pub(crate) fn broken() -> Reply {
    let failure = stream::iter([Err(broken_body())]);
    Reply::new(Body::Stream(Box::pin(failure)))
}

/// Error that closes a connection.
pub(crate) fn broken_body() -> BodyError {
    BodyError::Broken {
        detail: "closed on request".into(),
    }
}

/// Reply that states its whole length but closes halfway.
pub(crate) fn cut(reply: Reply, timer: &Timer) -> Reply {
    let (mut head, body) = reply.into_parts();
    let Body::Whole(Some(whole)) = body else {
        return broken();
    };
    let length = HeaderValue::from(whole.len());
    head.headers.insert(CONTENT_LENGTH, length);
    let half = whole.slice(..whole.len() / 2);
    let pieces = cut_pieces(half, timer.clone());
    Reply::from_parts(head, Body::Stream(Box::pin(pieces)))
}

fn cut_pieces(
    half: Bytes,
    timer: Timer,
) -> impl futures_util::Stream<Item = Result<Bytes, BodyError>> {
    stream::unfold(Some(half), move |half| {
        let timer = timer.clone();
        async move {
            if let Some(half) = half {
                return Some((Ok(half), None));
            }
            timer.sleep(CUT_SPAN).await;
            Some((Err(broken_body()), None))
        }
    })
}

fn kind(status: u16) -> &'static str {
    match status {
        404 => "NotFoundError",
        400..500 => "BadRequestError",
        503 => "ServiceUnavailableError",
        _ => "InternalServerError",
    }
}
