//! The server: connections under limits, each request to one handler, a stop that cuts nothing.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use http::Version;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use monoio::io::IntoPollIo;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioExecutor, MonoioIo, MonoioTimer};

use crate::full::refuse;
use crate::linger::linger;
use crate::measured::measured;
use crate::protocol::{CONNECTION_WINDOW, STREAM_WINDOW};
use crate::{Body, Protocol, Tally, Timer};

/// Share of the connections' limit that may be refused with an answer at once; more are closed.
const REFUSED_SHARE: usize = 8;

/// Pause of a listener after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// A request as it arrives.
pub type Incoming = http::Request<hyper::body::Incoming>;

/// An answer.
pub type Reply = http::Response<Body>;

/// What answers requests.
pub trait Handler {
    /// Answer to `request`; dropped if the peer goes away first.
    fn handle(&self, request: Incoming, peer: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>>;
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Connections at once, and exchanges at once on one of HTTP/2; one more connection is closed,
    /// in HTTP/1 after a 503.
    pub connections: usize,
    /// Protocol of every connection.
    pub protocol: Protocol,
    /// Longest head, bytes, from 8 KiB on; a longer one is answered 431.
    pub head: usize,
    /// Most header fields in a head; more are answered 431.
    pub fields: usize,
    /// Time for a head to arrive, and for a connection to stay idle.
    pub head_span: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            connections: 10_000,
            protocol: Protocol::Http1,
            head: 16 * 1024,
            fields: 64,
            head_span: Duration::from_secs(30),
        }
    }
}

/// Listener on `address`.
///
/// # Errors
/// The system's, if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Listener on `address` that no other socket shares, even one in its last moments.
///
/// # Errors
/// The system's, if any process holds the address.
pub fn bind_exclusive(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(false);
    TcpListener::bind_with_config(address, &options)
}

/// Server on one listener.
#[derive(Clone)]
pub struct Server {
    state: Rc<State>,
}

struct State {
    options: ServerOptions,
    handler: Rc<dyn Handler>,
    timer: Timer,
    open: Tally,
    refused: Tally,
    /// Closed when the server stops.
    stop: Sender<Infallible>,
    stopped: Receiver<Infallible>,
}

impl Server {
    /// Server that passes requests to `handler`.
    #[must_use]
    pub fn new_ext(options: ServerOptions, handler: Rc<dyn Handler>, timer: &Timer) -> Self {
        let (stop, stopped) = async_channel::bounded(1);
        let state = State {
            options,
            handler,
            timer: timer.clone(),
            open: Tally::new(),
            refused: Tally::new(),
            stop,
            stopped,
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Accepts connections until stopped.
    pub async fn serve(&self, listener: TcpListener) {
        loop {
            let accepted = self.unless_stopping(listener.accept()).await;
            match accepted {
                None => break,
                Some(Ok((stream, peer))) => self.admit(stream, peer),
                // Out of descriptors, or the peer left: the listener itself is sound.
                Some(Err(_)) => self.state.timer.sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Takes no further connection or request; answers under way go on.
    pub fn stop(&self) {
        self.state.stop.close();
    }

    /// Connections open now.
    #[must_use]
    pub fn open(&self) -> usize {
        self.state.open.count()
    }

    /// Waits until no connection is open: after a stop, until the last byte of every answer left.
    pub async fn closed(&self) {
        self.state.open.zero().await;
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        if self.open() >= self.state.options.connections {
            return self.refuse(stream);
        }
        let guard = self.state.open.enter();
        let server = self.clone();
        monoio::spawn(async move {
            server.converse(stream, peer).await;
            drop(guard);
        });
    }

    fn refuse(&self, stream: TcpStream) {
        let most = self.state.options.connections / REFUSED_SHARE + 1;
        let is_text = self.state.options.protocol == Protocol::Http1;
        if !is_text || self.state.refused.count() >= most {
            return;
        }
        let guard = self.state.refused.enter();
        let timer = self.state.timer.clone();
        monoio::spawn(async move {
            refuse(stream, &timer).await;
            drop(guard);
        });
    }

    async fn converse(&self, stream: TcpStream, peer: SocketAddr) {
        // Without it small chunks wait for the peer's acknowledgement; the stream works all the same.
        let _ = stream.set_nodelay(true);
        let Ok(io) = stream.into_poll_io() else {
            return;
        };
        match self.state.options.protocol {
            Protocol::Http1 => self.converse_http1(io, peer).await,
            // Boxed, as its state would widen every connection's task.
            Protocol::Http2 => Box::pin(self.converse_http2(io, peer)).await,
        }
    }

    async fn converse_http1(&self, stream: TcpStreamPoll, peer: SocketAddr) {
        let handler = Rc::clone(&self.state.handler);
        let service = service_fn(move |r: Incoming| {
            let is_old = r.version() == Version::HTTP_10;
            let reply = handler.handle(r, peer);
            let reply = if is_old {
                Either::Left(Box::pin(reply.then(measured)))
            } else {
                Either::Right(reply)
            };
            reply.map(Ok::<_, Infallible>)
        });
        let options = &self.state.options;
        let mut connection = http1::Builder::new()
            .timer(MonoioTimer)
            .header_read_timeout(options.head_span)
            .max_headers(options.fields)
            .max_buf_size(options.head.max(8192))
            .serve_connection(MonoioIo::new(stream), service);
        let ended = poll_fn(|cx| connection.poll_without_shutdown(cx));
        if self.unless_stopping(ended).await.is_none() {
            Pin::new(&mut connection).graceful_shutdown();
            // A peer that breaks off ends its own exchange only.
            let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
        }
        let io = connection.into_parts().io.inner();
        if let Ok(stream) = io.try_into_comp_io() {
            Box::pin(linger(stream, &self.state.timer)).await;
        }
    }

    async fn converse_http2(&self, stream: TcpStreamPoll, peer: SocketAddr) {
        let handler = Rc::clone(&self.state.handler);
        let service = service_fn(move |r| handler.handle(r, peer).map(Ok::<_, Infallible>));
        let options = &self.state.options;
        let mut connection = http2::Builder::new(MonoioExecutor)
            .timer(MonoioTimer)
            .max_concurrent_streams(u32::try_from(options.connections).unwrap_or(u32::MAX))
            // By default some cancelled streams at once, or many over time, would end all others.
            .max_pending_accept_reset_streams(options.connections)
            .max_local_error_reset_streams(None)
            .max_header_list_size(u32::try_from(options.head).unwrap_or(u32::MAX))
            .max_send_buf_size(STREAM_WINDOW as usize)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .serve_connection(MonoioIo::new(stream), service);
        let ended = self.unless_stopping(&mut connection).await;
        if ended.is_none() {
            Pin::new(&mut connection).graceful_shutdown();
            // A peer that breaks off ends its own exchanges only.
            let _ = connection.await;
        }
    }

    /// Result of `work`, or `None` once the server stops.
    async fn unless_stopping<F: Future>(&self, work: F) -> Option<F::Output> {
        let work = std::pin::pin!(work);
        let stopped = std::pin::pin!(self.state.stopped.recv());
        match select(work, stopped).await {
            Either::Left((out, _)) => Some(out),
            Either::Right(_) => None,
        }
    }
}
