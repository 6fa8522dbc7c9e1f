//! Answers too large to be recorded: a retry never gets an empty answer in place of the whole one.

mod bench;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bench::{Bench, TIMEOUT, body_of, with_bench};
use pumicecleat_side::Side;
use pumicecleat_types::{Frame, Ran};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Larger than the largest answer that is recorded, in bytes.
const ANSWER_BYTES: usize = 20 << 10;

/// Starts a service that answers every call with the same large body.
fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The client may have disconnected.
            let _ = answer(&stream);
        }
    });
    address
}

fn answer(mut stream: &TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    reader.read_exact(&mut vec![0; length])?;
    let head =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; ANSWER_BYTES])
}

async fn until_keys_ready(bench: &Bench, side: &Side) {
    loop {
        let call = bench.call("warm", "/holds", Some("warm"), "");
        if let Some(Frame::Head { .. }) = bench.frames(side, &call).await.first() {
            return;
        }
        bench.timer.sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn a_repeat_whose_answer_was_not_kept_is_told_so() {
    with_bench(|bench| async move {
        let side = bench.service_side_at("vm-1", start_service());
        bench.until_healthy("vm-1").await;
        let ready = until_keys_ready(&bench, &side);
        bench.timer.within(TIMEOUT, ready).await.unwrap();
        let call = bench.call("r", "/holds", Some("seat-41"), "{}");
        let first = bench.frames(&side, &call).await;
        assert_eq!(body_of(&first).len(), ANSWER_BYTES);
        // The side reads the recorded outcome back from the log before the retry.
        bench.timer.sleep(POLL_INTERVAL * 10).await;
        let retry = bench.frames(&side, &call).await;
        let [Frame::Broken { ran: Ran::Yes, .. }] = &retry[..] else {
            panic!("{retry:?}");
        };
    });
}
