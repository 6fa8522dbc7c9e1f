//! The client: kept connections by peer, time limits, and the truth on whether a request left.

mod connect;
mod pool;
mod response;
mod sender;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use monoio::io::IntoPollIo;
use pumicecleat_types::Millis;
use snafu::{IntoError, ResultExt, ensure};

use crate::error::{
    AddressSnafu, AnswerTimeoutSnafu, ConnectSnafu, ConnectTimeoutSnafu, LostSnafu, NotSentSnafu,
    StatusSnafu,
};
use crate::{NetError, Protocol, Timer};

pub use response::Response;
pub(crate) use response::ResponseBody;

pub(crate) use connect::UPSTREAM_BYTES;
use connect::connect;
use pool::Pool;
use response::Kept;
use sender::{Sender, handshake};

type Request = http::Request<Full<Bytes>>;

/// Header by which a peer tells how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Statuses that HTTP defines for an answer. Interim ones precede it.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Time by which a kept connection is left before its peer closes it: the way of a request between
/// data centres, many times over.
const KEEP_MARGIN: Millis = Millis(500);

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Time for a connection to open.
    pub connect_span: Duration,
    /// Idle connections kept for one peer; HTTP/2 needs one.
    pub idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_span: Duration,
    /// Longest head of an answer, bytes.
    pub head: usize,
    /// Protocol spoken with every peer.
    pub protocol: Protocol,
    /// Time for which sent bytes may stay without acknowledgement before the connection is given up.
    pub ack_span: Option<Duration>,
    /// Whether closing a connection takes back what has not reached the peer. Without it, a request
    /// that was given up behind a partition arrives once the partition heals.
    pub abort: bool,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_span: Duration::from_secs(1),
            idle: 64,
            idle_span: Duration::from_secs(20),
            head: 16 * 1024,
            protocol: Protocol::Http1,
            ack_span: None,
            abort: false,
        }
    }
}

/// Client with its kept connections.
#[derive(Clone)]
pub struct Client {
    state: Rc<State>,
}

struct State {
    options: ClientOptions,
    timer: Timer,
    pool: RefCell<Pool>,
}

impl Client {
    /// Client under `options`.
    #[must_use]
    pub fn new_ext(options: ClientOptions, timer: &Timer) -> Self {
        let state = State {
            options,
            timer: timer.clone(),
            pool: RefCell::new(Pool::new(options.idle, options.idle_span)),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Timer service that the client subscribes to.
    #[must_use]
    pub fn timer(&self) -> &Timer {
        &self.state.timer
    }

    /// Sends `request` to `peer` and gives the head of the answer, if it comes within `span`.
    ///
    /// The request is sent again by itself only on a kept connection that proved closed before a
    /// byte left.
    ///
    /// # Errors
    /// [`NetError`]; its `sent` tells whether the request may have arrived.
    pub async fn send(
        &self,
        peer: &str,
        request: http::Request<Bytes>,
        span: Duration,
    ) -> Result<Response, NetError> {
        let address = parse_address(peer)?;
        let request = with_host(request, peer, self.state.options.protocol);
        let exchange = self.exchange(peer, address, request);
        match self.state.timer.within(span, exchange).await {
            Ok(result) => result,
            Err(_) => AnswerTimeoutSnafu { peer, span }.fail(),
        }
    }

    /// Opens a connection to `peer`, which the next request to it takes.
    ///
    /// # Errors
    /// [`NetError`]; [`NetError::is_refused`] tells that nobody listens there.
    pub async fn open(&self, peer: &str) -> Result<(), NetError> {
        let address = parse_address(peer)?;
        let sender = self.connect(peer, address).await?;
        if self.state.options.protocol == Protocol::Http1 {
            self.keep(address, sender, None);
        }
        Ok(())
    }

    async fn exchange(
        &self,
        peer: &str,
        address: SocketAddr,
        mut request: Request,
    ) -> Result<Response, NetError> {
        while let Some(sender) = self.take_idle(address) {
            match self.try_on(peer, address, sender, request).await? {
                Attempt::Answered(response) => return Ok(*response),
                Attempt::Returned(back, _) => request = *back,
            }
        }
        let sender = self.connect(peer, address).await?;
        match self.try_on(peer, address, sender, request).await? {
            Attempt::Answered(response) => Ok(*response),
            Attempt::Returned(_, source) => Err(NotSentSnafu { peer }.into_error(source)),
        }
    }

    async fn try_on(
        &self,
        peer: &str,
        address: SocketAddr,
        mut sender: Sender,
        request: Request,
    ) -> Result<Attempt, NetError> {
        match sender.try_send(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let status = head.status.as_u16();
                // Dropping the sender closes the connection, whose next bytes may be anything.
                ensure!(
                    FINAL_STATUSES.contains(&status),
                    StatusSnafu { peer, status }
                );
                let limit = keep_alive(&head.headers).map(|span| self.state.timer.now() + span);
                Ok(Attempt::Answered(Box::new(Response {
                    head,
                    peer: peer.into(),
                    rest: ResponseBody {
                        body,
                        events: None,
                        limit: None,
                        kept: Some(Kept {
                            client: self.clone(),
                            address,
                            sender,
                            limit,
                        }),
                    },
                })))
            }
            Err(mut e) => match e.take_message() {
                Some(back) => Ok(Attempt::Returned(Box::new(back), e.into_error())),
                None => Err(LostSnafu { peer }.into_error(e.into_error())),
            },
        }
    }

    async fn connect(&self, peer: &str, address: SocketAddr) -> Result<Sender, NetError> {
        let span = self.state.options.connect_span;
        let connect = connect(address, &self.state.options);
        let stream = match self.state.timer.within(span, connect).await {
            Ok(result) => result.context(ConnectSnafu { peer })?,
            Err(_) => return ConnectTimeoutSnafu { peer, span }.fail(),
        };
        let io = stream.into_poll_io().context(ConnectSnafu { peer })?;
        let sender = handshake(io, &self.state.options)
            .await
            .context(NotSentSnafu { peer })?;
        if let Some(shared) = sender.share() {
            self.keep(address, shared, None);
        }
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let now = self.state.timer.now();
        self.state.pool.borrow_mut().take(address, now)
    }

    fn keep(&self, address: SocketAddr, sender: Sender, limit: Option<Millis>) {
        let now = self.state.timer.now();
        let mut pool = self.state.pool.borrow_mut();
        pool.keep(address, sender, limit, now);
    }
}

enum Attempt {
    Answered(Box<Response>),
    /// Not a byte left.
    Returned(Box<Request>, hyper::Error),
}

fn parse_address(peer: &str) -> Result<SocketAddr, NetError> {
    peer.parse()
        .ok()
        .ok_or_else(|| AddressSnafu { peer }.build())
}

/// Time for which the peer says that it keeps an idle connection, less what a request may take on
/// its way, so that none meets the peer's close.
fn keep_alive(headers: &http::HeaderMap) -> Option<Millis> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="));
    let secs: u64 = timeout?.trim().parse().ok()?;
    Some(Millis(secs.saturating_mul(1_000)) - KEEP_MARGIN)
}

/// Request that names `peer` where the protocol wants it.
fn with_host(request: http::Request<Bytes>, peer: &str, protocol: Protocol) -> Request {
    let (mut head, body) = request.into_parts();
    match protocol {
        Protocol::Http1 => {
            // A request passed on names the host that its caller named.
            if let Ok(host) = http::HeaderValue::from_str(peer) {
                head.headers.entry(http::header::HOST).or_insert(host);
            }
        }
        Protocol::Http2 => {
            let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
            head.uri = format!("http://{peer}{path}").parse().unwrap_or(head.uri);
        }
    }
    Request::from_parts(head, Full::new(body))
}
