//! Answers too long to be recorded: a repeat is never told an empty answer for a whole one.

mod bench;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bench::{Bench, SPAN, body_of, with_bench};
use pumicecleat_side::Side;
use pumicecleat_types::{Frame, Ran};

const PAUSE: Duration = Duration::from_millis(20);

/// Longer than what is recorded whole.
const LENGTH: usize = 20 << 10;

/// A service that answers all calls with one long body.
fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The caller may be gone.
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
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; LENGTH])
}

async fn until_keys_work(bench: &Bench, side: &Side) {
    loop {
        let call = bench.call("warm", "/holds", Some("warm"), "");
        if let Some(Frame::Head { .. }) = bench.frames(side, &call).await.first() {
            return;
        }
        bench.timer.sleep(PAUSE).await;
    }
}

#[test]
fn a_repeat_whose_answer_was_not_kept_is_told_so() {
    with_bench(|bench| async move {
        let side = bench.service_side_at("vm-1", start_service());
        bench.until_healthy("vm-1").await;
        let warm = until_keys_work(&bench, &side);
        bench.timer.within(SPAN, warm).await.unwrap();
        let call = bench.call("r", "/holds", Some("seat-41"), "{}");
        let first = bench.frames(&side, &call).await;
        assert_eq!(body_of(&first).len(), LENGTH);
        // Its outcome is read back before the repeat is judged.
        bench.timer.sleep(PAUSE * 10).await;
        let again = bench.frames(&side, &call).await;
        let [Frame::Broken { ran: Ran::Yes, .. }] = &again[..] else {
            panic!("{again:?}");
        };
    });
}
