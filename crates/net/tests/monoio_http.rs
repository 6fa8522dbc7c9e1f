//! Why `monoio-http` does not stand towards callers and upstreams, and what stands there does.
//!
//! Each test shows a fault of `monoio-http` 0.3.12 and the right behaviour of this crate. One that
//! fails after an update means that the choice in `docs/HTTP.md` can be weighed anew.

use std::cell::Cell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use monoio::io::AsyncReadRent;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::StreamHint;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::codec::decoder::RequestDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{Payload, stream_payload_pair};
use pumicecleat_net::{
    Body, Client, ClientOptions, Handler, Incoming, Reply, Server, ServerOptions, Timer, bind, run,
};

/// Time in which a chunk has to arrive that is not held back.
const PROMPT: Duration = Duration::from_millis(500);

/// Time that no step may take.
const LIMIT: Duration = Duration::from_secs(20);

/// A response that ends with its connection, as HTTP/1.0 servers send.
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole answer";

/// What `monoio-http` decodes from `bytes` sent by a peer that then waits.
fn decode(bytes: Vec<u8>) -> Option<Result<Request, HttpError>> {
    run(async {
        let timer = Timer::start();
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let mut peer = StdStream::connect(address).unwrap();
            peer.set_read_timeout(Some(LIMIT)).unwrap();
            // The decoder may close before all is sent.
            let _ = peer.write_all(&bytes).and_then(|()| peer.read(&mut [0]));
        });
        let (stream, _) = listener.accept().await.unwrap();
        let mut decoder: RequestDecoder<TcpStream> = RequestDecoder::new(stream);
        timer.within(LIMIT, decoder.next()).await.unwrap()
    })
    .unwrap()
}

/// Address of a peer that answers one request with `UNTIL_CLOSE`.
fn serve_until_close() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        stream.write_all(UNTIL_CLOSE.as_bytes()).unwrap();
    });
    address
}

/// Streams one chunk, then waits for the end of the test.
struct OneChunk(Timer);

impl Handler for OneChunk {
    fn handle(&self, _: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let timer = self.0.clone();
        let sent = Cell::new(false);
        let pieces = stream::unfold((timer, sent), |(timer, sent)| async move {
            if sent.replace(true) {
                timer.sleep(LIMIT).await;
            }
            Some((Ok(Bytes::from_static(b"token")), (timer, sent)))
        });
        Box::pin(std::future::ready(Reply::new(Body::Stream(Box::pin(
            pieces,
        )))))
    }
}

#[test]
fn it_holds_a_chunk_back_and_we_do_not() {
    run(async {
        let timer = Timer::start();
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut peer = TcpStream::connect_addr(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (payload, mut feed) = stream_payload_pair::<Bytes, HttpError>();
        feed.feed_data(Some(Bytes::from_static(b"token")));
        monoio::spawn(async move {
            let response: Response = Response::new(Payload::Stream(payload));
            let _ = GenericEncoder::new(stream).send_and_flush(response).await;
        });
        let first = timer.within(PROMPT, peer.read(vec![0; 1024])).await;
        assert!(first.is_err(), "the chunk left before the end of the body");
        drop(feed);

        let handler = Rc::new(OneChunk(timer.clone()));
        let server = Server::new_ext(ServerOptions::default(), handler, &timer);
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        monoio::spawn(async move { server.serve(listener).await });
        let client = Client::new_ext(ClientOptions::default(), &timer);
        let request = http::Request::new(Bytes::new());
        let mut response = client.send(&address, request, LIMIT).await.unwrap();
        let first = timer.within(LIMIT, response.next()).await;
        assert_eq!(first.unwrap().unwrap().unwrap(), "token");
    })
    .unwrap();
}

#[test]
fn it_reads_an_answer_that_ends_with_its_connection_as_empty_and_we_do_not() {
    run(async {
        let timer = Timer::start();
        let stream = TcpStream::connect_addr(serve_until_close()).await.unwrap();
        let mut codec = ClientCodec::new(stream);
        let request = http::Request::get("/").body(Payload::<Bytes, HttpError>::None);
        codec.send_and_flush(request.unwrap()).await.unwrap();
        let response = timer.within(LIMIT, codec.next()).await;
        let response = response.unwrap().unwrap().unwrap();
        assert_eq!(response.body().hint(), StreamHint::None);

        let client = Client::new_ext(ClientOptions::default(), &timer);
        let address = serve_until_close().to_string();
        let request = http::Request::new(Bytes::new());
        let mut response = client.send(&address, request, LIMIT).await.unwrap();
        assert_eq!(response.read(1024, LIMIT).await.unwrap(), b"whole answer");
    })
    .unwrap();
}

struct Case {
    name: &'static str,
    head: String,
    /// Values of `content-length` that reach the program.
    lengths: usize,
    /// Values of `transfer-encoding` that reach the program.
    codings: usize,
}

#[test]
fn it_lets_through_what_our_server_refuses_or_clears_up() {
    let start = "POST / HTTP/1.1\r\nhost: x\r\n";
    let long = "y".repeat(2 << 20);
    let cases = [
        Case {
            name: "length and chunks",
            head: format!(
                "{start}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
            lengths: 1,
            codings: 1,
        },
        Case {
            name: "two lengths that differ",
            head: format!("{start}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"),
            lengths: 2,
            codings: 0,
        },
        Case {
            name: "head of 2 MiB",
            head: format!("{start}a: {long}\r\n\r\n"),
            lengths: 0,
            codings: 0,
        },
    ];
    for case in cases {
        let request = decode(case.head.into_bytes());
        let Some(Ok(request)) = request else {
            panic!("{} is refused", case.name);
        };
        let count = |name| request.headers().get_all(name).iter().count();
        assert_eq!(count(CONTENT_LENGTH), case.lengths, "{}", case.name);
        assert_eq!(count(TRANSFER_ENCODING), case.codings, "{}", case.name);
    }
}

#[test]
fn it_panics_on_a_long_header_name() {
    let decode_name = |length: usize| {
        let head = format!("GET / HTTP/1.1\r\n{}: x\r\n\r\n", "y".repeat(length));
        std::thread::spawn(move || decode(head.into_bytes()).is_some_and(|r| r.is_ok()))
    };
    assert!(decode_name((1 << 16) - 1).join().unwrap());
    assert!(decode_name(1 << 16).join().is_err(), "it no longer panics");
}
