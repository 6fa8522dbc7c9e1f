//! What a connection over the limit gets: a short 503, so that its peer needn't guess.

use std::time::Duration;

use http::HeaderValue;
use http::header::RETRY_AFTER;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;

use crate::linger::linger;
use crate::memory::NoRoom;
use crate::{Reply, Timer, plain_reply};

/// Time for the refusal to be written.
const REFUSE_SPAN: Duration = Duration::from_secs(1);

/// Head and body of the refusal.
const REFUSAL: &str = concat!(
    "HTTP/1.1 503 Service Unavailable\r\n",
    "content-type: application/json\r\n",
    "content-length: 88\r\n",
    "retry-after: 1\r\n",
    "connection: close\r\n",
    "\r\n",
    r#"{"error":{"code":"overloaded","message":"too many connections","type":"api"},"ran":"no"}"#,
);

/// Answer to a request for which the memory budget has no room.
pub(crate) fn refused_request(no_room: NoRoom) -> Reply {
    let mut reply = plain_reply(503, "not run; come back later\n");
    let seconds = format!("{:.2}", no_room.retry_after.as_secs());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Writes the refusal and closes.
pub(crate) async fn refuse(mut stream: TcpStream, timer: &Timer) {
    let write = stream.write_all(REFUSAL.as_bytes());
    if let Ok((Ok(_), _)) = timer.within(REFUSE_SPAN, write).await {
        linger(stream, timer).await;
    }
}
