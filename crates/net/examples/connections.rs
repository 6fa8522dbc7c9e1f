//! Prints the resident memory of open connections as a JSON line.
//!
//! `connections KIND COUNT`, with a KIND of `silent` (nothing sent yet), `kept` (one request
//! answered), `stream` (one piece in 100 ms each), `pair` (the same, read by this crate's client
//! in the same process) or `shared` (as `pair`, over one connection of HTTP/2). Peers other than the client are plain sockets, which take memory of the
//! kernel only.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{
    Body, Client, ClientOptions, Handler, Incoming, Protocol, Reply, Response, Server,
    ServerOptions, Timer, bind, plain_reply, run,
};

/// Time between two pieces of a stream.
const PACE: Duration = Duration::from_millis(100);

/// Time for buffers to be used in full before memory is read.
const SETTLE: Duration = Duration::from_secs(6);

/// Bytes of a piece, as of an engine's event.
const PIECE: [u8; 280] = [b'x'; 280];

/// Time for an answer to begin.
const SPAN: Duration = Duration::from_secs(10);

struct Ticker(Timer);

impl Handler for Ticker {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        if request.uri().path() == "/kept" {
            return Box::pin(std::future::ready(plain_reply(200, "done")));
        }
        let pieces = stream::unfold(self.0.clone(), |timer| async move {
            timer.sleep(PACE).await;
            Some((Ok(Bytes::from_static(&PIECE)), timer))
        });
        let reply = Reply::new(Body::Stream(Box::pin(pieces)));
        Box::pin(std::future::ready(reply))
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or_else(|| "stream".into());
    let count = args.next().and_then(|n| n.parse().ok()).unwrap_or(1000);
    run(measure(&kind, count)).expect("the loop starts");
}

async fn measure(kind: &str, count: usize) {
    let timer = Timer::start();
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Rc::new(Ticker(timer.clone()));
    let protocol = match kind {
        "shared" => Protocol::Http2,
        _ => Protocol::Http1,
    };
    let options = ServerOptions {
        protocol,
        ..ServerOptions::default()
    };
    let server = Server::new_ext(options, handler, &timer);
    let accepting = server.clone();
    monoio::spawn(async move { accepting.serve(listener).await });
    let before = resident();
    match kind {
        "pair" | "shared" => ask(address, count, protocol, &timer).await,
        kind => open_plain(address, kind, count),
    }
    timer.sleep(SETTLE).await;
    while kind != "shared" && server.open() < count {
        timer.sleep(PACE).await;
    }
    let each = resident().saturating_sub(before) / count as u64;
    println!(r#"{{"kind":"{kind}","connections":{count},"bytes_each":{each}}}"#);
}

/// Streams read by this crate's client, each read on by a task of its own.
async fn ask(address: SocketAddr, count: usize, protocol: Protocol, timer: &Timer) {
    let options = ClientOptions {
        protocol,
        ..ClientOptions::default()
    };
    let client = Client::new_ext(options, timer);
    let peer = address.to_string();
    for _ in 0..count {
        let request = http::Request::new(Bytes::new());
        let response = client.send(&peer, request, SPAN).await;
        monoio::spawn(read_on(response.expect("an answer")));
    }
}

async fn read_on(mut response: Response) {
    while let Some(Ok(_)) = response.next().await {}
}

/// Plain sockets, opened and read by a thread of their own.
fn open_plain(address: SocketAddr, kind: &str, count: usize) {
    let head = match kind {
        "silent" => String::new(),
        kind => format!("GET /{kind} HTTP/1.1\r\nhost: x\r\n\r\n"),
    };
    std::thread::spawn(move || {
        let mut peers: Vec<TcpStream> = (0..count).map(|_| open(address, &head)).collect();
        let mut buffer = [0; 4096];
        loop {
            for peer in &mut peers {
                // Would block where nothing came.
                let _ = peer.read(&mut buffer);
            }
            std::thread::sleep(PACE);
        }
    });
}

fn open(address: SocketAddr, head: &str) -> TcpStream {
    let mut peer = TcpStream::connect(address).expect("a connection");
    peer.write_all(head.as_bytes()).expect("a request sent");
    peer.set_nonblocking(true).expect("a socket");
    peer
}

/// Resident memory, bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
