//! The end of a connection: a close that doesn't take back the last answer.
//!
//! A close with bytes unread resets the connection: a peer that is still sending a body too long
//! would see its write fail and never look for the answer.

use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;
use monoio::time::sleep;
use pumicecleat_types::Millis;

use crate::Timer;
use crate::fair::{READS_PER_TURN, TURN_PAUSE};

/// Longest wait for the peer to close after the last answer.
pub(crate) const LINGER_SPAN: Duration = Duration::from_secs(2);

/// Shortest wait for it while others need the place.
pub(crate) const LINGER_MIN: Millis = Millis(100);

/// Bytes read and thrown away at a time.
const READ_BYTES: usize = 16 * 1024;

/// Ends the answers, and reads on until the peer closes or the wait is over.
pub(crate) async fn linger(stream: TcpStream, timer: &Timer) {
    // A peer that goes on sending is cut off.
    let _ = timer.within(LINGER_SPAN, read_to_close(stream)).await;
}

async fn read_to_close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut buffer = vec![0; READ_BYTES];
    for reads in 1.. {
        let (read, back) = stream.read(buffer).await;
        buffer = back;
        if !matches!(read, Ok(1..)) {
            return;
        }
        if reads % READS_PER_TURN == 0 {
            sleep(TURN_PAUSE).await;
        }
    }
}
