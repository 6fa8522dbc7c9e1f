//! Idle connections that make room for new ones at the limit, and busy ones that never do.

use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{
    Body, Client, ClientOptions, Handler, Incoming, Protocol, Reply, Server, ServerOptions, Timer,
    bind, plain_reply, read_all, run,
};

/// Time that no step of a test may take.
const LIMIT: Duration = Duration::from_secs(20);

/// Time in which bytes that were sent are read by the server.
const SETTLE: Duration = Duration::from_millis(50);

/// Time of a slow answer.
const SLOW: Duration = Duration::from_secs(1);

/// Request after which the connection stays open.
const KEPT: &str = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Request after which the connection closes.
const LAST: &str = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

/// Answers each request, `/slow` after a while, `/stall` after one in which the whole server stands still and another,
/// `/ticks` piece by piece; counts what ran.
struct Desk {
    timer: Timer,
    ran: Arc<AtomicUsize>,
}

impl Handler for Desk {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        self.ran.fetch_add(1, Ordering::SeqCst);
        let timer = self.timer.clone();
        Box::pin(async move {
            let (head, mut body) = request.into_parts();
            match head.uri.path() {
                "/slow" => timer.sleep(SLOW).await,
                "/stall" => {
                    thread::sleep(SLOW);
                    timer.sleep(SLOW).await;
                }
                "/ticks" => return ticks(timer),
                _ => {}
            }
            let body = read_all(&mut body, 1 << 20, LIMIT, &timer).await.unwrap();
            plain_reply(200, &format!("{} bytes\n", body.len()))
        })
    }
}

/// Pieces over the time of a slow answer.
fn ticks(timer: Timer) -> Reply {
    let pieces = stream::unfold((timer, 0), |(timer, n)| async move {
        if n == 10 {
            return None;
        }
        timer.sleep(SLOW / 10).await;
        Some((Ok(Bytes::from_static(b"tick")), (timer, n + 1)))
    });
    Reply::new(Body::Stream(Box::pin(pieces)))
}

/// Address of a server on a thread of its own, which ends with the test's process, and the count of what ran.
fn serve(connections: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let (send, receive) = channel();
    let ran = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&ran);
    thread::spawn(move || {
        run(async move {
            let timer = Timer::start();
            let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
            send.send(listener.local_addr().unwrap()).unwrap();
            let desk = Desk {
                timer: timer.clone(),
                ran: counted,
            };
            let options = ServerOptions {
                connections,
                ..ServerOptions::default()
            };
            let server = Server::new_ext(options, Rc::new(desk), &timer);
            server.serve(listener).await;
        })
        .unwrap();
    });
    (receive.recv_timeout(LIMIT).unwrap(), ran)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.set_write_timeout(Some(LIMIT)).unwrap();
    stream
}

/// All that the server sends until it closes its side.
fn read_to_close(mut stream: &TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Whether a request on an open connection is answered; not if the server had closed it.
fn is_answered(mut stream: &TcpStream) -> bool {
    if stream.write_all(KEPT.as_bytes()).is_err() {
        return false;
    }
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => text.push_str(std::str::from_utf8(&buffer[..n]).unwrap()),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
            Err(e) => panic!("neither answered nor closed: {e}, after {text:?}"),
        }
        if text.ends_with("0 bytes\n") {
            return true;
        }
    }
    assert_eq!(text, "", "an answer was cut");
    false
}

/// Statuses of the answers to one request on a connection of its own.
fn ask(address: SocketAddr) -> Vec<u16> {
    let mut stream = connect(address);
    stream.write_all(LAST.as_bytes()).unwrap();
    statuses(&read_to_close(&stream))
}

fn statuses(answers: &str) -> Vec<u16> {
    let heads = answers.match_indices("HTTP/1.1 ");
    heads
        .map(|(at, start)| answers[at + start.len()..][..3].parse().unwrap())
        .collect()
}

/// Guards against the close of a connection that was used later than another, and against a reset in place of a close.
#[test]
fn the_connection_that_has_been_idle_longest_makes_room() {
    let (address, _) = serve(4);
    let open: Vec<TcpStream> = (0..4).map(|_| connect(address)).collect();
    thread::sleep(SETTLE);
    // The second was never used; the others end their requests in the order 3, 0, 2.
    for n in [0, 3, 0, 2] {
        assert!(is_answered(&open[n]));
    }
    let mut new = Vec::new();
    for n in [1, 3, 0, 2] {
        let stream = connect(address);
        assert!(is_answered(&stream), "no room by connection {n}");
        new.push(stream);
        assert_eq!(read_to_close(&open[n]), "", "connection {n}");
    }
    for stream in &new {
        assert!(is_answered(stream));
    }
}

/// A connection that is not idle.
struct Busy {
    name: &'static str,
    /// Whether a request was answered on it before.
    is_used: bool,
    start: &'static str,
    /// What is sent later.
    rest: &'static str,
    statuses: &'static [u16],
    /// End of its last answer.
    end: &'static str,
}

const BUSY: [Busy; 7] = [
    Busy {
        name: "in the first head",
        is_used: false,
        start: "GET / HTTP/1.1\r\nho",
        rest: "st: x\r\nconnection: close\r\n\r\n",
        statuses: &[200],
        end: "0 bytes\n",
    },
    Busy {
        name: "in a later head",
        is_used: true,
        start: "G",
        rest: "ET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        statuses: &[200],
        end: "0 bytes\n",
    },
    Busy {
        name: "in a head that came with the request before",
        is_used: false,
        start: "GET / HTTP/1.1\r\nhost: x\r\n\r\nGET / HTT",
        rest: "P/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        statuses: &[200, 200],
        end: "0 bytes\n",
    },
    Busy {
        name: "in a body",
        is_used: true,
        start: "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 4\r\n\r\nab",
        rest: "cd",
        statuses: &[200],
        end: "4 bytes\n",
    },
    Busy {
        name: "before the answer",
        is_used: true,
        start: "GET /slow HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        rest: "",
        statuses: &[200],
        end: "0 bytes\n",
    },
    Busy {
        name: "in the answer",
        is_used: true,
        start: "GET /ticks HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        rest: "",
        statuses: &[200],
        end: "tick\r\n0\r\n\r\n",
    },
    Busy {
        name: "in the answer, with a part of the next head",
        is_used: false,
        start: "GET /slow HTTP/1.1\r\nhost: x\r\n\r\nGET /",
        rest: " HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        statuses: &[200, 200],
        end: "0 bytes\n",
    },
];

impl Busy {
    fn open(&self, address: SocketAddr) -> TcpStream {
        let mut stream = connect(address);
        if self.is_used {
            assert!(is_answered(&stream), "{}", self.name);
        }
        stream.write_all(self.start.as_bytes()).unwrap();
        thread::sleep(SETTLE);
        stream
    }

    fn complete(&self, mut stream: &TcpStream) {
        stream.write_all(self.rest.as_bytes()).unwrap();
        let answers = read_to_close(stream);
        let name = self.name;
        assert_eq!(statuses(&answers), self.statuses, "{name}: {answers}");
        assert!(answers.ends_with(self.end), "{name}: {answers}");
    }
}

/// Guards against the close of a connection with a request, or a part of one, on the way.
#[test]
fn a_connection_that_is_not_idle_never_makes_room() {
    for busy in &BUSY {
        let (address, _) = serve(2);
        let used = busy.open(address);
        let idle = connect(address);
        assert!(is_answered(&idle), "{}", busy.name);
        assert_eq!(ask(address), [200], "{}", busy.name);
        assert_eq!(read_to_close(&idle), "", "{}", busy.name);
        busy.complete(&used);
    }
}

/// Guards against an idle connection that is not found behind others that have been open for longer.
#[test]
fn an_idle_connection_makes_room_behind_busy_ones() {
    // Without those whose answer may have ended before the new connection comes.
    for busy in BUSY.iter().filter(|b| !b.rest.is_empty()) {
        let (address, _) = serve(9);
        let used: Vec<TcpStream> = (0..8).map(|_| busy.open(address)).collect();
        let idle = connect(address);
        assert!(is_answered(&idle), "{}", busy.name);
        assert_eq!(ask(address), [200], "{}", busy.name);
        assert_eq!(read_to_close(&idle), "", "{}", busy.name);
        for stream in &used {
            busy.complete(stream);
        }
    }
}

/// Guards against new connections that wait, or are closed without an answer, where none can make room.
#[test]
fn a_new_connection_is_refused_while_none_is_idle() {
    for busy in &BUSY {
        let (address, ran) = serve(1);
        let used = busy.open(address);
        let before = ran.load(Ordering::SeqCst);
        for n in 0..2 {
            assert_eq!(ask(address), [503], "{}, connection {n}", busy.name);
            // At this limit one refusal at a time is answered: the server has to see the end of the one before.
            thread::sleep(SETTLE);
        }
        assert_eq!(ran.load(Ordering::SeqCst), before, "{}", busy.name);
        busy.complete(&used);
    }
}

/// Guards against new connections that are closed before the request that came with them is read.
#[test]
fn connections_that_bring_requests_at_once_do_not_make_room_for_each_other() {
    let (address, ran) = serve(40);
    let request = LAST.replace("GET /", "GET /slow");
    let open: Vec<TcpStream> = (0..44)
        .map(|_| {
            let mut stream = connect(address);
            stream.write_all(request.as_bytes()).unwrap();
            stream
        })
        .collect();
    let answers: Vec<String> = open.iter().map(read_to_close).collect();
    let count = |status| answers.iter().filter(|a| statuses(a) == [status]).count();
    assert_eq!((count(200), count(503)), (40, 4), "{answers:?}");
    assert_eq!(ran.load(Ordering::SeqCst), 40);
}

/// Guards against a request that runs although its caller sees a closed connection.
#[test]
fn a_request_on_a_connection_that_made_room_is_not_run() {
    let (address, ran) = serve(1);
    let first = connect(address);
    assert!(is_answered(&first));
    let second = connect(address);
    assert!(is_answered(&second));
    assert!(!is_answered(&first));
    assert!(is_answered(&second));
    assert_eq!(ran.load(Ordering::SeqCst), 3);
}

/// Guards against a reset, which can take back an answer that the caller has not read.
#[test]
fn a_connection_that_made_room_takes_what_its_caller_still_sends() {
    let (address, ran) = serve(1);
    let mut first = connect(address);
    assert!(is_answered(&first));
    assert_eq!(ask(address), [200]);
    for _ in 0..3 {
        first.write_all(KEPT.as_bytes()).unwrap();
        thread::sleep(SETTLE);
    }
    assert_eq!(read_to_close(&first), "");
    assert_eq!(ran.load(Ordering::SeqCst), 2);
}

/// Guards against the close of a connection whose request has arrived, and was not read because the server was busy.
#[test]
fn a_request_that_arrived_before_the_close_is_answered() {
    let (address, _) = serve(3);
    let mut open: Vec<TcpStream> = (0..3).map(|_| connect(address)).collect();
    assert!(open.iter().all(is_answered));
    let stall = LAST.replace("GET /", "GET /stall");
    open[1].write_all(stall.as_bytes()).unwrap();
    thread::sleep(SLOW / 4);
    // While the server stands still: it will find the second stall, then the new connection.
    open[2].write_all(stall.as_bytes()).unwrap();
    thread::sleep(SLOW / 4);
    let new = thread::spawn(move || ask(address));
    thread::sleep(SLOW);
    // During the second stall.
    open[0].write_all(LAST.as_bytes()).unwrap();
    for stream in &open {
        assert_eq!(statuses(&read_to_close(stream)), [200]);
    }
    assert_eq!(new.join().unwrap(), [503]);
}

/// Guards against the same at the very moment of the close: a request is answered, or it is not run.
#[test]
fn a_request_at_the_moment_of_the_close_is_answered_or_not_run() {
    let (address, ran) = serve(1);
    let (mut answered, mut closed) = (0, 0);
    for round in 0..200 {
        let first = connect(address);
        if !is_answered(&first) {
            continue;
        }
        answered += 1;
        let second = thread::spawn(move || ask(address));
        thread::sleep(Duration::from_micros(100 * (round % 25)));
        if is_answered(&first) {
            answered += 1;
        } else {
            closed += 1;
        }
        drop(first);
        let second = second.join().unwrap();
        assert!(second == [200] || second == [503], "{second:?}");
        answered += usize::from(second == [200]);
    }
    assert!(closed > 0, "no request came after a close");
    assert_eq!(ran.load(Ordering::SeqCst), answered);
}

/// Status of a request by `client`, whose body is read; `None` if it failed.
async fn status(client: &Client, peer: &str, path: &'static str) -> Option<u16> {
    let mut request = http::Request::new(Bytes::new());
    *request.uri_mut() = path.parse().unwrap();
    let mut response = client.send(peer, request, LIMIT).await.ok()?;
    response.read(1 << 20, LIMIT).await.ok()?;
    Some(response.status())
}

/// Guards against the same over connections with many exchanges each.
#[test]
fn an_idle_connection_of_http_2_makes_room_and_a_busy_one_does_not() {
    let options = ServerOptions {
        connections: 1,
        protocol: Protocol::Http2,
        ..ServerOptions::default()
    };
    run(async move {
        let timer = Timer::start();
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let peer = listener.local_addr().unwrap().to_string();
        let desk = Desk {
            timer: timer.clone(),
            ran: Arc::default(),
        };
        let server = Server::new_ext(options, Rc::new(desk), &timer);
        let serving = server.clone();
        monoio::spawn(async move { serving.serve(listener).await });
        let options = ClientOptions {
            protocol: Protocol::Http2,
            ..ClientOptions::default()
        };
        let clients = [(); 2].map(|()| Client::new_ext(options, &timer));
        for round in 0..3 {
            for client in &clients {
                assert_eq!(status(client, &peer, "/").await, Some(200), "{round}");
            }
        }
        let (busy, other) = (clients[1].clone(), peer.clone());
        let ticking = monoio::spawn(async move { status(&busy, &other, "/ticks").await });
        timer.sleep(SETTLE).await;
        assert_eq!(status(&clients[0], &peer, "/").await, None);
        assert_eq!(ticking.await, Some(200));
        assert_eq!(status(&clients[0], &peer, "/").await, Some(200));
    })
    .unwrap();
}
