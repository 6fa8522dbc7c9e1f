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
    Body, Client, ClientOptions, Handler, Incoming, Reply, Server, ServerOptions, Timer, bind, run,
};

const SPAN: Duration = Duration::from_secs(5);

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
            let ticks = stream::unfold((0, guard), move |(n, guard)| {
                let timer = timer.clone();
                async move {
                    timer.sleep(Duration::from_millis(10)).await;
                    let piece = Bytes::from(format!("{n};"));
                    (n < 500).then_some((Ok(piece), (n + 1, guard)))
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

fn start() -> Bench {
    let timer = Timer::start();
    let dropped = Rc::default();
    let handler = Rc::new(Ticker {
        timer: timer.clone(),
        dropped: Rc::clone(&dropped),
    });
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = Server::new_ext(ServerOptions::default(), handler, &timer);
    let accepting = server.clone();
    monoio::spawn(async move { accepting.serve(listener).await });
    Bench {
        address,
        client: Client::new_ext(ClientOptions::default(), &timer),
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
    run(async {
        let bench = start();
        let mut response = bench
            .client
            .send(&bench.address, get("/"), SPAN)
            .await
            .unwrap();
        for n in 0..5 {
            let piece = response.next().await.unwrap().unwrap();
            assert_eq!(piece, format!("{n};").as_bytes());
        }
    })
    .unwrap();
}

#[test]
fn work_ends_when_its_peer_leaves() {
    run(async {
        let bench = start();
        let mut response = bench
            .client
            .send(&bench.address, get("/"), SPAN)
            .await
            .unwrap();
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

#[test]
fn a_stop_lets_answers_finish() {
    run(async {
        let bench = start();
        let mut response = bench
            .client
            .send(&bench.address, get("/"), SPAN)
            .await
            .unwrap();
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
