//! Raw bytes to the server that callers, sides and operators reach, over loopback: one connection
//! an input, whose writing end is closed after it. A panic ends the server's thread, which the next
//! connection shows.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

use pumicecleat_net::{
    Handler, Incoming, Reply, Server, ServerOptions, Timer, bind, plain_reply, read_all, run,
};

use super::{Broken, BrokenSnafu, Target, require};

/// Time for all answers to one input.
const SPAN: Duration = Duration::from_secs(10);
/// Silence after which the writing end is closed.
const QUIET: Duration = Duration::from_millis(1);
/// Time for a head or a body.
const SHORT: Duration = Duration::from_secs(2);
/// Longest body that is read.
const BODY_LIMIT: u64 = 4_096;

/// Head of every answer.
const VERSIONS: [&[u8]; 2] = [b"HTTP/1.1 ", b"HTTP/1.0 "];

/// Requests as bytes.
pub(super) struct RequestBytes(Option<SocketAddr>);

impl RequestBytes {
    /// Target with its server started.
    pub(super) fn start() -> Self {
        let (sender, address) = channel();
        thread::spawn(move || serve(&sender));
        Self(address.recv_timeout(SPAN).ok())
    }

    fn exchange(&self, input: &[u8]) -> std::io::Result<Vec<u8>> {
        let Some(address) = self.0 else {
            return Err(std::io::ErrorKind::NotConnected.into());
        };
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(SPAN))?;
        stream.set_write_timeout(Some(SPAN))?;
        let sent = stream.write_all(input);
        let mut answer = Vec::new();
        // A server drops what it runs for a peer that has closed, so that whole requests wait.
        let quiet = if self.samples().iter().any(|s| s == input) {
            SPAN
        } else {
            QUIET
        };
        stream.set_read_timeout(Some(quiet))?;
        let mut first = [0; 1_024];
        if let Ok(length) = stream.read(&mut first) {
            answer.extend_from_slice(&first[..length]);
        }
        stream.set_read_timeout(Some(SPAN))?;
        // A server that has answered and closed may refuse the rest of the input.
        if sent.is_ok() && stream.shutdown(Shutdown::Write).is_ok() {
            match stream.read_to_end(&mut answer) {
                Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => return Err(e),
                _ => {}
            }
        }
        Ok(answer)
    }
}

impl Target for RequestBytes {
    fn name(&self) -> &'static str {
        "heads"
    }

    fn weight(&self) -> u64 {
        1
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let get = "GET /v1/models?x=1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer k\r\n\r\n";
        let post = concat!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n",
            "x-deadline-ms: 500\r\nidempotency-key: \"k\"\r\ncontent-length: 2\r\n\r\n{}"
        );
        let chunks = concat!(
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
            "2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n"
        );
        let old = "GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n";
        let several = format!("{get}{post}{chunks}");
        [get, post, chunks, old, &several].map(Into::into).to_vec()
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let answer = self.exchange(input).map_err(|e| {
            let what = format!("no end of the exchange: {e}");
            BrokenSnafu { what }.build()
        })?;
        check_answers(&answer)
    }
}

/// Whole answers in a row, and whether one was of a request that was taken.
fn check_answers(mut rest: &[u8]) -> Result<bool, Broken> {
    let mut taken = false;
    while !rest.is_empty() {
        require(VERSIONS.iter().any(|v| rest.starts_with(v)), "no head")?;
        let end = rest.windows(4).position(|w| w == b"\r\n\r\n");
        require(end.is_some(), "a head without its end")?;
        let (head, body) = rest.split_at(end.unwrap_or(0) + 4);
        let head = String::from_utf8_lossy(head).to_lowercase();
        taken |= head.contains(" 200 ");
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let length = length.map_or(Ok(0), str::parse::<usize>);
        let whole = length.is_ok_and(|l| body.len() >= l);
        require(whole, "an answer that is cut")?;
        rest = &body[length_of(&head)..];
    }
    Ok(taken)
}

fn length_of(head: &str) -> usize {
    let line = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    line.and_then(|l| l.parse().ok()).unwrap_or(0)
}

/// Answers each request with the length of its body.
struct Measure(Timer);

impl Handler for Measure {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let timer = self.0.clone();
        Box::pin(async move {
            let mut body = request.into_body();
            match read_all(&mut body, BODY_LIMIT, SHORT, &timer).await {
                Ok(bytes) => plain_reply(200, &format!("{} bytes\n", bytes.len())),
                Err(e) => plain_reply(e.status(), &format!("{e}\n")),
            }
        })
    }
}

fn serve(started: &Sender<SocketAddr>) {
    let loop_ended = run(async {
        let timer = Timer::start();
        let Ok(listener) = bind(SocketAddr::from(([127, 0, 0, 1], 0))) else {
            return;
        };
        let Ok(address) = listener.local_addr() else {
            return;
        };
        // Who waits for the address may be gone.
        let _ = started.send(address);
        let options = ServerOptions {
            head_span: SHORT,
            ..ServerOptions::default()
        };
        let handler = Rc::new(Measure(timer.clone()));
        Server::new_ext(options, handler, &timer)
            .serve(listener)
            .await;
    });
    // Without a loop no connection is taken, which each check reports.
    let _ = loop_ended;
}
