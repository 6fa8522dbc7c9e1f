//! Many exchanges on one connection of HTTP/2: what one of them does holds no other up.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{
    Body, Client, ClientOptions, Handler, Incoming, Protocol, Reply, Response, Server,
    ServerOptions, Timer, bind, run,
};

const SPAN: Duration = Duration::from_secs(10);

/// Time for which the server stands still.
const PAUSE: Duration = Duration::from_millis(300);

/// Time between pieces of a paced answer: twice as many as a token stream has.
const PACE: Duration = Duration::from_millis(20);

/// Bytes of a piece of a paced answer.
const PACED: usize = 256;

/// Bytes of the large answer.
const LARGE: usize = 16 << 20;

struct Pieces(Timer);

impl Handler for Pieces {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let timer = self.0.clone();
        Box::pin(async move {
            match request.uri().path() {
                "/large" => Reply::new(Body::whole(vec![7; LARGE])),
                "/pause" => {
                    thread::sleep(PAUSE);
                    Reply::new(Body::whole("paused"))
                }
                "/paced" => Reply::new(ticks(timer, PACE, &[7; PACED])),
                _ => Reply::new(ticks(timer, Duration::from_millis(1), b"tick")),
            }
        })
    }
}

/// A `piece` after each `span`, for ever.
fn ticks(timer: Timer, span: Duration, piece: &'static [u8]) -> Body {
    let pieces = stream::unfold(timer, move |timer| async move {
        timer.sleep(span).await;
        Some((Ok(Bytes::from_static(piece)), timer))
    });
    Body::Stream(Box::pin(pieces))
}

/// Server on a thread of its own.
fn start() -> String {
    let (sender, address) = mpsc::channel();
    thread::spawn(move || {
        run(async move {
            let timer = Timer::start();
            let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let options = ServerOptions {
                protocol: Protocol::Http2,
                ..ServerOptions::default()
            };
            let handler = Rc::new(Pieces(timer.clone()));
            Server::new_ext(options, handler, &timer)
                .serve(listener)
                .await;
        })
        .unwrap();
    });
    address.recv().unwrap().to_string()
}

fn client(timer: &Timer) -> Client {
    let options = ClientOptions {
        protocol: Protocol::Http2,
        ..ClientOptions::default()
    };
    Client::new_ext(options, timer)
}

async fn get(client: &Client, peer: &str, path: &str) -> Response {
    let request = http::Request::get(path).body(Bytes::new()).unwrap();
    client.send(peer, request, SPAN).await.unwrap()
}

async fn next(timer: &Timer, response: &mut Response) -> Bytes {
    let piece = timer.within(SPAN, response.next()).await.unwrap();
    piece.unwrap().unwrap()
}

/// Bytes of the rest of an answer. Only silence is limited: how fast the bytes come is the machine's matter.
async fn read_by_pieces(timer: &Timer, response: &mut Response) -> usize {
    let mut bytes = 0;
    while let Some(piece) = timer.within(SPAN, response.next()).await.unwrap() {
        bytes += piece.unwrap().len();
    }
    bytes
}

#[test]
fn cancelled_streams_end_no_other() {
    run(async {
        let timer = Timer::start();
        let (peer, client) = (start(), client(&timer));
        let mut kept = get(&client, &peer, "/").await;
        for _ in 0..30 {
            let mut open = Vec::new();
            for _ in 0..100 {
                open.push(get(&client, &peer, "/").await);
            }
            for response in &mut open {
                next(&timer, response).await;
            }
            drop(open);
            next(&timer, &mut kept).await;
        }
        for _ in 0..1000 {
            next(&timer, &mut kept).await;
        }
    })
    .unwrap();
}

#[test]
fn streams_cancelled_before_the_server_sees_them_end_no_other() {
    run(async {
        let timer = Timer::start();
        let (peer, client) = (start(), client(&timer));
        let mut kept = get(&client, &peer, "/").await;
        next(&timer, &mut kept).await;
        let pausing = get(&client, &peer, "/pause");
        let cancelled = async {
            timer.sleep(PAUSE / 6).await;
            let asks = (0..500).map(|_| Box::pin(get(&client, &peer, "/")));
            let asks = futures_util::future::join_all(asks);
            assert!(timer.within(PAUSE / 3, asks).await.is_err());
        };
        futures_util::join!(pausing, cancelled);
        for _ in 0..1000 {
            next(&timer, &mut kept).await;
        }
    })
    .unwrap();
}

#[test]
fn a_thousand_streams_and_a_large_answer_pass_together() {
    run(async {
        let timer = Timer::start();
        let (peer, client) = (start(), client(&timer));
        let mut open = Vec::new();
        for _ in 0..1200 {
            open.push(get(&client, &peer, "/paced").await);
        }
        let mut large = get(&client, &peer, "/large").await;
        assert_eq!(read_by_pieces(&timer, &mut large).await, LARGE);
        for response in &mut open {
            next(&timer, response).await;
        }
    })
    .unwrap();
}
