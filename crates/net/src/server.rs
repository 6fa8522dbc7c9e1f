//! The server: connections under limits, each request to one handler, a stop that cuts nothing.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_util::future::{Either, select};
use hyper::server::conn::{http1, http2};
use hyper::service::{Service, service_fn};
use monoio::io::IntoPollIo;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioExecutor, MonoioTimer};

use crate::answer::{Received, answer};
use crate::fair::FairStream;
use crate::full::refuse;
use crate::idle::{IdleFrom, IdleList, Presence};
use crate::linger::{LINGER_MIN, LINGER_SPAN, linger};
use crate::memory::{Cause, CloseRequest, Lease, MemoryBudget, MemoryLimits};
use crate::protocol::{CONNECTION_WINDOW, STREAM_WINDOW};
use crate::tally::TallyGuard;
use crate::watched::{WatchedBody, WatchedStream};
use crate::{Handler, Protocol, Tally, Timer};

/// Share of the connections' limit that may be refused with an answer at once; more are closed.
const REFUSED_SHARE: usize = 8;

/// Idle connections that are asked to make room for one new connection, which bounds its wait. More than one is asked
/// only where a part of a request had arrived on the others.
const MOST_ASKED: usize = 64;

/// Time in which a connection that is asked to make room reads what has already arrived: on a busy loop, bytes may have
/// waited for longer than since the last look at the sockets.
const ROOM_SPAN: Duration = Duration::from_millis(1);

/// Pause of a listener after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Connections at once, and exchanges at once on one of HTTP/2. One more connection takes the place of the one that
    /// has been idle longest; without an idle one it is closed, in HTTP/1 after a 503.
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
    idle: IdleList,
    budget: MemoryBudget,
    /// Number of this server in the budget.
    id: u64,
    /// Connections that made room and wait for their peers to close.
    leaving: Tally,
    /// Closed when the server stops.
    stop: Sender<Infallible>,
    stopped: Receiver<Infallible>,
}

/// What a connection waits for.
enum Step {
    Ended,
    Stopping,
    Asked(CloseRequest),
    /// Asked to close because a head or response waits for the caller.
    Stalled,
}

impl Server {
    /// Server that passes requests to `handler`, without a limit of its memory.
    #[must_use]
    pub fn new_ext(options: ServerOptions, handler: Rc<dyn Handler>, timer: &Timer) -> Self {
        let budget = MemoryBudget::new_ext(MemoryLimits::UNLIMITED, timer);
        Self::with_budget(options, handler, &budget)
    }

    /// Server that passes requests to `handler` and holds no more for its callers than `budget` allows.
    #[must_use]
    pub fn with_budget(
        options: ServerOptions,
        handler: Rc<dyn Handler>,
        budget: &MemoryBudget,
    ) -> Self {
        let (stop, stopped) = async_channel::bounded(1);
        let idle = IdleList::default();
        let state = State {
            options,
            handler,
            timer: budget.timer().clone(),
            open: Tally::new(),
            refused: Tally::new(),
            id: budget.add_server(&idle),
            idle,
            budget: budget.clone(),
            leaving: Tally::new(),
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
                Some(Ok((stream, peer))) => self.admit(stream, peer).await,
                // Out of descriptors, or the peer left: the listener itself is sound.
                Some(Err(_)) => {
                    self.make_place().await;
                    self.state.timer.sleep(ACCEPT_PAUSE).await;
                }
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
        self.state.leaving.zero().await;
    }

    async fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let Some(lease) = self.find_room().await else {
            self.state.budget.count(Cause::Connection);
            self.state.handler.on_closed(peer, Cause::Connection);
            return self.refuse(stream);
        };
        let guard = self.state.open.enter();
        let server = self.clone();
        monoio::spawn(async move { server.converse(stream, peer, guard, lease).await });
    }

    /// Memory for one more connection if there is also a place for it, by the close of others if necessary.
    async fn find_room(&self) -> Option<Lease> {
        let most = self.state.options.connections;
        for _ in 0..MOST_ASKED {
            if self.open() < most {
                break;
            }
            if !self.make_place().await {
                return None;
            }
        }
        if self.open() >= most {
            return None;
        }
        let mut lease = self.state.budget.lease();
        let bytes = self.state.options.head as u64;
        let grown = self.state.budget.grow(&mut lease, bytes).await;
        grown.is_ok().then_some(lease)
    }

    /// Has the connection close that has been idle longest, or else the one that has waited longest for its caller; false
    /// if there is none or the server stops.
    async fn make_place(&self) -> bool {
        if let Some(closed) = self.state.idle.ask_longest() {
            // Nothing is ever sent: the channel closes.
            return self.unless_stopping(closed.recv()).await.is_some();
        }
        self.state.budget.make_place(self.state.id).await
    }

    /// Most connections beyond the limit that wait for their peers to close.
    fn most_beyond(&self) -> usize {
        self.state.options.connections / REFUSED_SHARE + 1
    }

    fn refuse(&self, stream: TcpStream) {
        let is_text = self.state.options.protocol == Protocol::Http1;
        if !is_text || self.state.refused.count() >= self.most_beyond() {
            return;
        }
        let guard = self.state.refused.enter();
        let timer = self.state.timer.clone();
        monoio::spawn(async move {
            refuse(stream, &timer).await;
            drop(guard);
        });
    }

    async fn converse(&self, stream: TcpStream, peer: SocketAddr, guard: TallyGuard, lease: Lease) {
        // Without it small chunks wait for the peer's acknowledgement; the stream works all the same.
        let _ = stream.set_nodelay(true);
        let Ok(io) = stream.into_poll_io() else {
            return;
        };
        let budget = &self.state.budget;
        let (wait, idle) = (budget.enter_wait(self.state.id), &self.state.idle);
        match self.state.options.protocol {
            Protocol::Http1 => {
                let presence = idle.enter(IdleFrom::Flush, budget, wait, lease);
                self.converse_http1(io, peer, guard, presence).await;
            }
            // Boxed, as its state would widen every connection's task.
            Protocol::Http2 => {
                let presence = idle.enter(IdleFrom::Response, budget, wait, lease);
                Box::pin(self.converse_http2(io, peer, guard, presence)).await;
            }
        }
    }

    async fn converse_http1(
        &self,
        stream: TcpStreamPoll,
        peer: SocketAddr,
        guard: TallyGuard,
        presence: Rc<Presence>,
    ) {
        let (handler, watch) = (Rc::clone(&self.state.handler), Rc::clone(&presence));
        let mut service = service_fn(move |r| answer(&handler, r, peer, &watch));
        let mut io = WatchedStream::new(stream, &presence);
        let asked = loop {
            let mut connection = self.http1().serve_connection(io, service);
            let asked = self.serve_http1(&mut connection, &presence, peer).await;
            let parts = connection.into_parts();
            (io, service) = (parts.io, parts.service);
            if asked.is_none() || !presence.is_idle() || parts.read_buf.is_empty() {
                break asked;
            }
            // The start of a request that came with the one before: not idle.
            io = io.with_unread(parts.read_buf);
        };
        presence.record_end();
        let asked = asked.or_else(|| presence.take_followed());
        let is_lingering = asked.is_none() || self.state.leaving.count() < self.most_beyond();
        let _guard = self.make_room(asked, guard);
        if let (true, Ok(stream)) = (is_lingering, io.into_stream().try_into_comp_io()) {
            Box::pin(self.linger(stream, &presence)).await;
        }
    }

    /// Keeps a connection that has ended until its peer closes, or until others need its place.
    async fn linger(&self, stream: TcpStream, presence: &Presence) {
        let timer = &self.state.timer;
        let wait = &presence.wait;
        wait.begin(timer.now() + LINGER_MIN, Cause::Idle);
        let lingering = pin!(linger(stream, timer));
        let asked = pin!(poll_fn(|cx| wait.poll_asked(cx)));
        select(lingering, asked).await;
        wait.end();
    }

    fn http1(&self) -> http1::Builder {
        let options = &self.state.options;
        let mut builder = http1::Builder::new();
        builder
            .timer(MonoioTimer)
            .header_read_timeout(options.head_span)
            .max_headers(options.fields)
            .max_buf_size(options.head.max(8192));
        builder
    }

    /// Serves a connection until it ends, or until it is idle and asked to make room.
    async fn serve_http1<S>(
        &self,
        connection: &mut http1::Connection<WatchedStream, S>,
        presence: &Presence,
        peer: SocketAddr,
    ) -> Option<CloseRequest>
    where
        S: Service<Received, Response = http::Response<WatchedBody>, Error = Infallible> + Unpin,
        S::Future: Unpin,
    {
        loop {
            let ended = poll_fn(|cx| connection.poll_without_shutdown(cx));
            match self.step(ended, presence).await {
                Step::Ended => return None,
                Step::Stopping => {
                    Pin::new(&mut *connection).graceful_shutdown();
                    // A peer that breaks off ends its own exchange only.
                    let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
                    return None;
                }
                Step::Asked(request) => {
                    let ended = poll_fn(|cx| connection.poll_without_shutdown(cx));
                    if self.state.timer.within(ROOM_SPAN, ended).await.is_ok() {
                        return None;
                    }
                    if presence.is_idle() {
                        self.state.budget.count(Cause::Idle);
                        return Some(request);
                    }
                }
                Step::Stalled => {
                    let ended = poll_fn(|cx| connection.poll_without_shutdown(cx));
                    if self.state.timer.within(ROOM_SPAN, ended).await.is_ok() {
                        return None;
                    }
                    if let Some(request) = presence.wait.take_request() {
                        let cause = presence.wait.cause();
                        self.state.budget.count(cause);
                        self.state.handler.on_closed(peer, cause);
                        return Some(request);
                    }
                }
            }
        }
    }

    async fn converse_http2(
        &self,
        stream: TcpStreamPoll,
        peer: SocketAddr,
        guard: TallyGuard,
        presence: Rc<Presence>,
    ) {
        let (handler, watch) = (Rc::clone(&self.state.handler), Rc::clone(&presence));
        let service = service_fn(move |r| answer(&handler, r, peer, &watch));
        let mut connection = self
            .http2()
            .serve_connection(FairStream::new(stream), service);
        loop {
            match self.step(&mut connection, &presence).await {
                Step::Ended => return,
                Step::Stopping => {
                    Pin::new(&mut connection).graceful_shutdown();
                    // A peer that breaks off ends its own exchanges only.
                    let _ = connection.await;
                    return;
                }
                Step::Asked(request) if presence.is_idle() => {
                    Pin::new(&mut connection).graceful_shutdown();
                    presence.record_end();
                    let _guard = self.make_room(Some(request), guard);
                    return self.end_http2(connection, &presence).await;
                }
                Step::Asked(_) | Step::Stalled => {}
            }
        }
    }

    fn http2(&self) -> http2::Builder<MonoioExecutor> {
        let options = &self.state.options;
        let mut builder = http2::Builder::new(MonoioExecutor);
        builder
            .timer(MonoioTimer)
            .max_concurrent_streams(u32::try_from(options.connections).unwrap_or(u32::MAX))
            // By default some cancelled streams at once, or many over time, would end all others.
            .max_pending_accept_reset_streams(options.connections)
            .max_local_error_reset_streams(None)
            .max_header_list_size(u32::try_from(options.head).unwrap_or(u32::MAX))
            .max_send_buf_size(STREAM_WINDOW as usize)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW);
        builder
    }

    /// Answers what the peer sent before it knew that the connection closes.
    async fn end_http2(&self, connection: impl Future, presence: &Presence) {
        let mut connection = pin!(connection);
        let timer = &self.state.timer;
        while timer.within(LINGER_SPAN, &mut connection).await.is_err() {
            if !presence.is_active() {
                return;
            }
        }
    }

    /// Ends the place of a connection that was asked to make room; gives what counts it from now on.
    fn make_room(&self, asked: Option<CloseRequest>, guard: TallyGuard) -> TallyGuard {
        match asked {
            Some(_request) => self.state.leaving.enter(),
            None => guard,
        }
    }

    /// Waits until `work` ends, the server stops, or the connection is asked to make room.
    async fn step<F: Future>(&self, work: F, presence: &Presence) -> Step {
        let work = pin!(self.unless_stopping(work));
        let asked = pin!(poll_fn(|cx| match presence.poll_asked(cx) {
            Poll::Ready(request) => Poll::Ready(Step::Asked(request)),
            Poll::Pending => presence.wait.poll_asked(cx).map(|()| Step::Stalled),
        }));
        match select(work, asked).await {
            Either::Left((Some(_), _)) => Step::Ended,
            Either::Left((None, _)) => Step::Stopping,
            Either::Right((step, _)) => step,
        }
    }

    /// Result of `work`, or `None` once the server stops.
    async fn unless_stopping<F: Future>(&self, work: F) -> Option<F::Output> {
        let work = pin!(work);
        let stopped = pin!(self.state.stopped.recv());
        match select(work, stopped).await {
            Either::Left((out, _)) => Some(out),
            Either::Right(_) => None,
        }
    }
}
