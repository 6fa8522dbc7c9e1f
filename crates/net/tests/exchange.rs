//! Client and server against each other.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{
    Body, BodyError, Client, ClientOptions, Handler, Incoming, Protocol, Reply, Response, Server,
    ServerOptions, Timer, bind, run,
};

const SPAN: Duration = Duration::from_secs(5);

const PROTOCOLS: [Protocol; 2] = [Protocol::Http1, Protocol::Http2];

struct Ticker {
    timer: Timer,
    dropped: Rc<Cell<u32>>,
}

struct Guard(Rc<Cell<u32>>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl Handler for Ticker {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let timer = self.timer.clone();
        let guard = Guard(Rc::clone(&self.dropped));
        Box::pin(async move {
            if request.uri().path() == "/slow" {
                timer.sleep(SPAN).await;
            }
            if request.uri().path() == "/broken" {
                let broken = BodyError::Broken {
                    detail: "upstream".into(),
                };
                let pieces = stream::iter([Ok(Bytes::from_static(b"start")), Err(broken)]);
                return Reply::new(Body::Stream(Box::pin(pieces)));
            }
            if request.uri().path() == "/flood" {
                let piece = Bytes::from(vec![7; 16 * 1024]);
                let pieces = stream::repeat_with(move || Ok(piece.clone()));
                return Reply::new(Body::Stream(Box::pin(pieces)));
            }
            let count = if request.uri().path() == "/few" {
                5
            } else {
                500
            };
            let ticks = stream::unfold((0, guard), move |(n, guard)| {
                let timer = timer.clone();
                async move {
                    timer.sleep(Duration::from_millis(10)).await;
                    let piece = Bytes::from(format!("{n};"));
                    (n < count).then_some((Ok(piece), (n + 1, guard)))
                }
            });
            Reply::new(Body::Stream(Box::pin(ticks)))
        })
    }
}

struct Bench {
    address: String,
    client: Client,
    timer: Timer,
    dropped: Rc<Cell<u32>>,
    server: Server,
}

impl Bench {
    /// Head of the answer to a GET.
    async fn get(&self, path: &str) -> Response {
        let sent = self.client.send(&self.address, get(path), SPAN);
        sent.await.unwrap()
    }
}

fn start(protocol: Protocol) -> Bench {
    let timer = Timer::start();
    let dropped = Rc::default();
    let handler = Rc::new(Ticker {
        timer: timer.clone(),
        dropped: Rc::clone(&dropped),
    });
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = Server::new_ext(
        ServerOptions {
            protocol,
            ..ServerOptions::default()
        },
        handler,
        &timer,
    );
    let accepting = server.clone();
    monoio::spawn(async move { accepting.serve(listener).await });
    Bench {
        address,
        client: Client::new_ext(
            ClientOptions {
                protocol,
                ..ClientOptions::default()
            },
            &timer,
        ),
        timer,
        dropped,
        server,
    }
}

fn get(path: &str) -> http::Request<Bytes> {
    http::Request::get(path).body(Bytes::new()).unwrap()
}

async fn until(bench: &Bench, dropped: u32) {
    let waiting = async {
        while bench.dropped.get() < dropped {
            bench.timer.sleep(Duration::from_millis(2)).await;
        }
    };
    bench
        .timer
        .within(SPAN, waiting)
        .await
        .expect("work goes on after its peer left");
}

#[test]
fn chunks_arrive_one_by_one() {
    for protocol in PROTOCOLS {
        run(async {
            let bench = start(protocol);
            let mut response = bench.get("/").await;
            for n in 0..5 {
                let piece = response.next().await.unwrap().unwrap();
                assert_eq!(piece, format!("{n};").as_bytes());
            }
        })
        .unwrap();
    }
}

#[test]
fn work_ends_when_its_peer_leaves() {
    for protocol in PROTOCOLS {
        run(async {
            let bench = start(protocol);
            let mut response = bench.get("/").await;
            response.next().await.unwrap().unwrap();
            drop(response);
            until(&bench, 1).await;
            let short = Duration::from_millis(50);
            assert!(
                bench
                    .client
                    .send(&bench.address, get("/slow"), short)
                    .await
                    .is_err()
            );
            until(&bench, 2).await;
        })
        .unwrap();
    }
}

#[test]
fn a_stop_lets_answers_finish() {
    for protocol in PROTOCOLS {
        run(async {
            let bench = start(protocol);
            let mut response = bench.get("/").await;
            bench.server.stop();
            let whole = response
                .read(1 << 20, Duration::from_secs(20))
                .await
                .unwrap();
            assert!(whole.ends_with(b";499;"));
            assert!(
                bench
                    .client
                    .send(&bench.address, get("/"), SPAN)
                    .await
                    .is_err()
            );
            until(&bench, 1).await;
        })
        .unwrap();
    }
}

#[test]
fn a_broken_answer_never_looks_whole() {
    for protocol in PROTOCOLS {
        run(async {
            let bench = start(protocol);
            let sending = bench.client.send(&bench.address, get("/broken"), SPAN);
            // The break may overtake the head.
            let Ok(mut response) = sending.await else {
                return;
            };
            let mut last = response.next().await;
            while let Some(Ok(_)) = last {
                last = response.next().await;
            }
            assert!(
                last.is_some_and(|l| l.is_err()),
                "{protocol:?}: looks whole"
            );
        })
        .unwrap();
    }
}

#[test]
fn many_exchanges_share_one_connection_of_http2() {
    for (protocol, connections) in [(Protocol::Http1, 20), (Protocol::Http2, 1)] {
        run(async {
            let bench = start(protocol);
            let mut open = Vec::new();
            for _ in 0..20 {
                let sending = bench.client.send(&bench.address, get("/"), SPAN);
                open.push(sending.await.unwrap());
            }
            assert_eq!(bench.server.open(), connections, "{protocol:?}");
            for response in &mut open {
                assert_eq!(response.next().await.unwrap().unwrap(), "0;");
            }
        })
        .unwrap();
    }
}

#[test]
fn answers_that_nobody_reads_hold_no_other_up() {
    run(async {
        let bench = start(Protocol::Http2);
        let mut unread = Vec::new();
        for _ in 0..50 {
            let sending = bench.client.send(&bench.address, get("/flood"), SPAN);
            unread.push(sending.await.unwrap());
        }
        bench.timer.sleep(Duration::from_millis(200)).await;
        let sending = bench.client.send(&bench.address, get("/"), SPAN);
        let mut response = sending.await.unwrap();
        for _ in 0..5 {
            let piece = bench.timer.within(SPAN, response.next()).await;
            piece.unwrap().unwrap().unwrap();
        }
    })
    .unwrap();
}

#[test]
fn idle_connections_are_closed() {
    for protocol in PROTOCOLS {
        run(async {
            let bench = start(protocol);
            let options = ClientOptions {
                idle_span: Duration::from_millis(50),
                protocol,
                ..ClientOptions::default()
            };
            let client = Client::new_ext(options, &bench.timer);
            let other = start(protocol);
            let sending = client.send(&bench.address, get("/few"), SPAN);
            let mut response = sending.await.unwrap();
            response.read(1 << 20, SPAN).await.unwrap();
            drop(response);
            assert_eq!(bench.server.open(), 1);
            bench.timer.sleep(Duration::from_millis(100)).await;
            // Any use of the client sweeps.
            let _second = client.send(&other.address, get("/"), SPAN).await.unwrap();
            let closed = bench.timer.within(SPAN, bench.server.closed()).await;
            assert!(closed.is_ok(), "{protocol:?}");
        })
        .unwrap();
    }
}

/// Whether the peer of a request that was given up sees a reset, not only the end of the bytes.
fn is_reset(abort: bool) -> bool {
    use std::io::Read;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(SPAN)).unwrap();
        std::thread::sleep(Duration::from_millis(300));
        let mut bytes = Vec::new();
        // How the bytes end does not matter here, only what stands behind them.
        let _ = stream.read_to_end(&mut bytes);
        stream.take_error().unwrap().is_some()
    });
    run(async {
        let timer = Timer::start();
        let options = ClientOptions {
            abort,
            ..ClientOptions::default()
        };
        let client = Client::new_ext(options, &timer);
        let request = http::Request::new(Bytes::from_static(b"work"));
        let span = Duration::from_millis(100);
        assert!(client.send(&peer, request, span).await.is_err());
        timer.sleep(Duration::from_millis(600)).await;
    })
    .unwrap();
    server.join().unwrap()
}

/// Regression: a request that was given up behind a partition arrived when it healed. A reset takes
/// back what has not arrived; an ordinary close delivers it.
#[test]
fn a_request_that_is_given_up_is_taken_back() {
    assert!(is_reset(true));
    assert!(!is_reset(false));
}
