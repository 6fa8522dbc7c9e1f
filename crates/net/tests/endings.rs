//! Ends of answers: how they are framed, and which connections are used again after them.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Version};
use pumicecleat_net::{BodyError, Client, ClientOptions, Framing, Timer, run};

struct Head {
    version: Version,
    headers: &'static [(&'static str, &'static str)],
    framing: Framing,
}

const HEADS: &[Head] = &[
    Head {
        version: Version::HTTP_11,
        headers: &[("content-length", "7")],
        framing: Framing::Length,
    },
    Head {
        version: Version::HTTP_11,
        headers: &[("transfer-encoding", "Chunked")],
        framing: Framing::Chunked,
    },
    Head {
        version: Version::HTTP_11,
        headers: &[
            ("transfer-encoding", "gzip, chunked"),
            ("content-length", "7"),
        ],
        framing: Framing::Chunked,
    },
    Head {
        version: Version::HTTP_11,
        headers: &[("transfer-encoding", "gzip"), ("content-length", "7")],
        framing: Framing::Close,
    },
    Head {
        version: Version::HTTP_11,
        headers: &[],
        framing: Framing::Close,
    },
    Head {
        version: Version::HTTP_10,
        headers: &[("connection", "close")],
        framing: Framing::Close,
    },
    Head {
        version: Version::HTTP_2,
        headers: &[],
        framing: Framing::Frame,
    },
];

#[test]
fn the_framing_of_an_answer_follows_from_its_head() {
    for head in HEADS {
        let pairs = head.headers.iter();
        let headers: HeaderMap = pairs
            .map(|(n, v)| (HeaderName::from_static(n), HeaderValue::from_static(v)))
            .collect();
        let framing = Framing::of(head.version, &headers);
        assert_eq!(framing, head.framing, "{:?}", head.headers);
    }
}

/// Answers each request with one chunk of `body` and the last one; counts connections.
fn serve(body: &'static str) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            counted.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                while matches!(stream.read(&mut buffer), Ok(1..)) {
                    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                    let answer = format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, count)
}

/// Guards against the next request on a connection whose peer lost track of its answer.
#[test]
fn a_connection_whose_stream_ended_inside_an_event_is_not_used_again() {
    for (body, connections) in [("data: a\n\n", 1), ("data: a\n", 3)] {
        let (peer, count) = serve(body);
        run(async {
            let timer = Timer::start();
            let client = Client::new_ext(ClientOptions::default(), &timer);
            for _ in 0..3 {
                let request = http::Request::new(Bytes::new());
                let span = Duration::from_secs(5);
                let mut response = client.send(&peer, request, span).await.unwrap();
                response.expect_events();
                while let Some(Ok(_)) = response.next().await {}
                let is_cut = matches!(response.next().await, Some(Err(BodyError::Cut { .. })));
                assert_eq!(is_cut, connections > 1, "{body:?}");
            }
        })
        .unwrap();
        assert_eq!(count.load(Ordering::Relaxed), connections, "{body:?}");
    }
}
