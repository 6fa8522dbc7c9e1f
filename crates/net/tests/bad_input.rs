//! Bad, slow and oversized input over raw TCP; a stream beside it goes on untouched.

use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use pumicecleat_net::{
    Body, Handler, Incoming, Reply, Server, ServerOptions, Timer, bind, plain_reply, read_all, run,
};

/// Longest body that the handler reads, bytes.
const BODY_LIMIT: u64 = 1 << 20;

/// Time for a head, a body, or an idle connection.
const SHORT: Duration = Duration::from_millis(400);

/// Time that no step of a test may take.
const LIMIT: Duration = Duration::from_secs(20);

/// Answers the length of each body; a GET of `/ticks` streams without end.
struct Measure(Timer);

impl Handler for Measure {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let timer = self.0.clone();
        if request.uri().path() == "/ticks" {
            return Box::pin(std::future::ready(ticks(timer)));
        }
        Box::pin(async move {
            let (head, mut body) = request.into_parts();
            let both = head.headers.contains_key("content-length")
                && head.headers.contains_key("transfer-encoding");
            match read_all(&mut body, BODY_LIMIT, SHORT, &timer).await {
                Ok(bytes) => plain_reply(200, &format!("{} bytes, both {both}\n", bytes.len())),
                Err(e) => plain_reply(e.status(), &format!("{e}\n")),
            }
        })
    }
}

fn ticks(timer: Timer) -> Reply {
    let pieces = stream::unfold(timer, |timer| async move {
        timer.sleep(Duration::from_millis(5)).await;
        Some((Ok(Bytes::from_static(b"tick")), timer))
    });
    Reply::new(Body::Stream(Box::pin(pieces)))
}

/// Address of a server on a thread of its own, which ends with the test's process.
fn serve(options: ServerOptions) -> SocketAddr {
    let (send, receive) = channel();
    std::thread::spawn(move || {
        run(async move {
            let timer = Timer::start();
            let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
            send.send(listener.local_addr().unwrap()).unwrap();
            let handler = Rc::new(Measure(timer.clone()));
            Server::new_ext(options, handler, &timer)
                .serve(listener)
                .await;
        })
        .unwrap();
    });
    receive.recv_timeout(LIMIT).unwrap()
}

fn short_options() -> ServerOptions {
    ServerOptions {
        head_span: SHORT,
        ..ServerOptions::default()
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.set_write_timeout(Some(LIMIT)).unwrap();
    stream
}

/// All that the server sends until it closes; the test fails if it doesn't.
fn read_to_close(mut stream: &TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
            Err(e) => panic!("connection stays open: {e}, after {bytes:?}"),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn statuses(answer: &str) -> Vec<u16> {
    let heads = answer.match_indices("HTTP/1.");
    heads
        .map(|(i, _)| answer[i + 9..i + 12].parse().unwrap())
        .collect()
}

fn get_ticks(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address);
    stream
        .write_all(b"GET /ticks HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    stream
}

fn still_ticks(mut stream: &TcpStream) {
    let mut buffer = [0; 256];
    for _ in 0..3 {
        assert!(
            stream.read(&mut buffer).unwrap() > 0,
            "the stream beside it broke"
        );
    }
}

enum Input {
    Text(&'static str),
    /// Text with a part that is repeated.
    Repeated(&'static str, &'static str, usize, &'static str),
}

impl Input {
    fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Text(text) => text.as_bytes().to_vec(),
            Self::Repeated(start, part, times, end) => {
                format!("{start}{}{end}", part.repeat(*times)).into_bytes()
            }
        }
    }
}

/// A chunk of 256 bytes.
const CHUNK: &str = concat!(
    "100\r\n",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "\r\n",
);

struct Case {
    name: &'static str,
    input: Input,
    /// Sends the end after the input.
    end: bool,
    statuses: &'static [u16],
    /// Part of the answer.
    part: &'static str,
}

const fn case(
    name: &'static str,
    text: &'static str,
    statuses: &'static [u16],
    part: &'static str,
) -> Case {
    Case {
        name,
        input: Input::Text(text),
        end: false,
        statuses,
        part,
    }
}

const fn ended(
    name: &'static str,
    text: &'static str,
    statuses: &'static [u16],
    part: &'static str,
) -> Case {
    Case {
        name,
        input: Input::Text(text),
        end: true,
        statuses,
        part,
    }
}

const CASES: &[Case] = &[
    case(
        "whole request",
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc",
        &[200],
        "3 bytes",
    ),
    case(
        "two equal lengths",
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc",
        &[200],
        "3 bytes",
    ),
    case(
        "two lengths that differ",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        &[400],
        "",
    ),
    case(
        "two lengths in one field",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3, 4\r\n\r\nabcd",
        &[400],
        "",
    ),
    case(
        "negative length",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -3\r\n\r\nabc",
        &[400],
        "",
    ),
    case(
        "signed length",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: +3\r\n\r\nabc",
        &[400],
        "",
    ),
    case(
        "length over 64 bits",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999\r\n\r\n",
        &[400],
        "",
    ),
    case(
        "length then chunks",
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        &[200],
        "2 bytes, both false",
    ),
    case(
        "chunks then length",
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\ncontent-length: 9\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        &[200],
        "2 bytes, both false",
    ),
    case(
        "coding that is not chunked",
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\n\r\nabc",
        &[400],
        "",
    ),
    case(
        "chunks in HTTP/1.0",
        "POST / HTTP/1.0\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        &[400],
        "",
    ),
    case(
        "chunk size not a number",
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
        &[400],
        "body broke off",
    ),
    case(
        "chunk size over 64 bits",
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nab\r\n0\r\n\r\n",
        &[400],
        "body broke off",
    ),
    case(
        "chunk without its end",
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
        &[400],
        "body broke off",
    ),
    case("no method", "\u{1}\u{2}\u{3}\r\n\r\n", &[400], ""),
    case(
        "head not UTF-8",
        "GET /\u{ff} HTTP/1.1\r\nhost: x\r\nna me: y\r\n\r\n",
        &[400],
        "",
    ),
    case(
        "newline in a name",
        "GET / HTTP/1.1\r\nhost: x\r\na b\r\n\r\n",
        &[400],
        "",
    ),
    case(
        "unknown version",
        "GET / HTTP/7.3\r\nhost: x\r\n\r\n",
        &[400],
        "",
    ),
    ended("head cut", "POST / HTTP/1.1\r\nhost", &[], ""),
    ended(
        "body cut",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc",
        &[400],
        "body broke off",
    ),
    ended(
        "chunks cut",
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc",
        &[400],
        "body broke off",
    ),
    ended("nothing", "", &[], ""),
    case("slow head", "POST / HTTP/1.1\r\nhost: x\r\n", &[], ""),
    case("silence", "", &[], ""),
    case(
        "slow body",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc",
        &[408],
        "not whole within",
    ),
    case(
        "idle after an answer",
        "GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        &[200],
        "0 bytes",
    ),
    case("HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", &[200], "0 bytes"),
    case(
        "three at once",
        "GET / HTTP/1.1\r\nhost: x\r\n\r\nPOST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\naGET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        &[200, 200, 200],
        "1 bytes",
    ),
    case(
        "bad after good",
        "GET / HTTP/1.1\r\nhost: x\r\n\r\nGET\r\n\r\n",
        &[200, 400],
        "0 bytes",
    ),
    Case {
        name: "long field",
        input: Input::Repeated("GET / HTTP/1.1\r\nhost: x\r\na: ", "y", 2 << 20, "\r\n\r\n"),
        end: false,
        statuses: &[431],
        part: "",
    },
    Case {
        name: "long name",
        input: Input::Repeated("GET / HTTP/1.1\r\nhost: x\r\n", "y", 2 << 20, ": z\r\n\r\n"),
        end: false,
        statuses: &[431],
        part: "",
    },
    Case {
        name: "long target",
        input: Input::Repeated("GET /", "y", 2 << 20, " HTTP/1.1\r\nhost: x\r\n\r\n"),
        end: false,
        statuses: &[431],
        part: "",
    },
    Case {
        name: "many fields",
        input: Input::Repeated("GET / HTTP/1.1\r\nhost: x\r\n", "a: b\r\n", 65, "\r\n"),
        end: false,
        statuses: &[431],
        part: "",
    },
    Case {
        name: "long body by length",
        input: Input::Repeated(
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 16777216\r\n\r\n",
            "y",
            16 << 20,
            "",
        ),
        end: false,
        statuses: &[413],
        part: "body over 1048576 bytes",
    },
    Case {
        name: "long body in chunks",
        input: Input::Repeated(
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
            CHUNK,
            16 << 10,
            "0\r\n\r\n",
        ),
        end: false,
        statuses: &[413],
        part: "body over 1048576 bytes",
    },
];

#[test]
fn bad_input_gets_a_clear_end_and_harms_nothing_else() {
    let address = serve(short_options());
    let beside = get_ticks(address);
    let mut faults = Vec::new();
    for case in CASES {
        let mut stream = connect(address);
        // Even a sender that only writes for now gets rid of all, and finds the answer then.
        stream.write_all(&case.input.bytes()).unwrap();
        if case.end {
            stream.shutdown(Shutdown::Write).unwrap();
        }
        let answer = read_to_close(&stream);
        if statuses(&answer) != case.statuses || !answer.contains(case.part) {
            let start: String = answer.chars().take(300).collect();
            faults.push(format!("{}: {start:?}", case.name));
        }
        still_ticks(&beside);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn connections_over_the_limit_are_refused_aloud() {
    let address = serve(ServerOptions {
        connections: 3,
        ..ServerOptions::default()
    });
    let open: Vec<TcpStream> = (0..3).map(|_| get_ticks(address)).collect();
    open.iter().for_each(still_ticks);
    for _ in 0..2 {
        let mut refused = connect(address);
        refused
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .unwrap();
        let answer = read_to_close(&refused);
        assert_eq!(statuses(&answer), [503], "{answer}");
        assert!(answer.ends_with(r#""ran":"no"}"#), "{answer}");
    }
    open.iter().for_each(still_ticks);
    drop(open);
    let end = std::time::Instant::now() + LIMIT;
    loop {
        let mut stream = connect(address);
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .unwrap();
        if statuses(&read_to_close(&stream)) == [200] {
            break;
        }
        assert!(
            std::time::Instant::now() < end,
            "closed connections still count"
        );
    }
}
