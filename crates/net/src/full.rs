//! What a connection over the limit gets: a short 503, so that its peer needn't guess.

use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

use crate::Timer;

/// Time for the refusal to be written, and for the peer to close.
const REFUSE_SPAN: Duration = Duration::from_secs(1);

/// Bytes read at a time while waiting for the peer to close.
const READ_BYTES: usize = 1024;

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

/// Writes the refusal and closes.
pub(crate) async fn refuse(stream: TcpStream, timer: &Timer) {
    // A peer that neither reads nor closes is cut off.
    let _ = timer.within(REFUSE_SPAN, write_refusal(stream)).await;
}

async fn write_refusal(mut stream: TcpStream) {
    let (written, _) = stream.write_all(REFUSAL.as_bytes()).await;
    if written.is_err() || stream.shutdown().await.is_err() {
        return;
    }
    // A close with bytes unread would reset the connection, and the refusal with it.
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let (read, back) = stream.read(buffer).await;
        buffer = back;
        if !matches!(read, Ok(1..)) {
            return;
        }
    }
}
