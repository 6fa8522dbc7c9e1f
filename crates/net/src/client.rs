//! The client: kept connections by peer, time limits, and the truth on whether a request left.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use snafu::{IntoError, ResultExt};

use crate::body::next_piece;
use crate::error::{
    AddressSnafu, AnswerSnafu, AnswerTimeoutSnafu, ConnectSnafu, ConnectTimeoutSnafu, LostSnafu,
    NotSentSnafu,
};
use crate::{BodyError, NetError, Timer, read_all};

type Sender = SendRequest<Full<Bytes>>;
type Request = http::Request<Full<Bytes>>;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Time for a connection to open.
    pub connect_span: Duration,
    /// Idle connections kept for one peer.
    pub idle: usize,
    /// Longest head of an answer, bytes.
    pub head: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_span: Duration::from_secs(1),
            idle: 64,
            head: 16 * 1024,
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
    idle: RefCell<BTreeMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    /// Client under `options`.
    #[must_use]
    pub fn new_ext(options: ClientOptions, timer: &Timer) -> Self {
        let state = State {
            options,
            timer: timer.clone(),
            idle: RefCell::default(),
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
        let request = with_host(request, peer);
        let exchange = self.exchange(peer, address, request);
        match self.state.timer.within(span, exchange).await {
            Ok(result) => result,
            Err(_) => AnswerTimeoutSnafu { peer, span }.fail(),
        }
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
        match sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Attempt::Answered(Box::new(Response {
                    head,
                    body,
                    peer: peer.into(),
                    kept: Some(Kept {
                        client: self.clone(),
                        address,
                        sender,
                    }),
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
        let connect = TcpStream::connect_addr(address);
        let stream = match self.state.timer.within(span, connect).await {
            Ok(result) => result.context(ConnectSnafu { peer })?,
            Err(_) => return ConnectTimeoutSnafu { peer, span }.fail(),
        };
        // Without it small requests wait for an acknowledgement; the exchange works all the same.
        let _ = stream.set_nodelay(true);
        let io = stream.into_poll_io().context(ConnectSnafu { peer })?;
        let handshake = http1::Builder::new()
            .max_buf_size(self.state.options.head.max(8192))
            .handshake(MonoioIo::new(io))
            .await;
        let (sender, connection) = handshake.context(NotSentSnafu { peer })?;
        monoio::spawn(async move {
            // Its error reaches the request under way, if there is one.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.state.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        let sender = loop {
            match list.pop() {
                Some(s) if s.is_ready() => break Some(s),
                Some(_) => {}
                None => break None,
            }
        };
        if list.is_empty() {
            idle.remove(&address);
        }
        sender
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.state.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        if list.len() < self.state.options.idle {
            list.push(sender);
        }
    }
}

enum Attempt {
    Answered(Box<Response>),
    /// Not a byte left.
    Returned(Box<Request>, hyper::Error),
}

struct Kept {
    client: Client,
    address: SocketAddr,
    sender: Sender,
}

/// Answer whose body is still to be read. Dropping it before the body's end closes its connection,
/// which is how a peer learns that nobody waits any more.
pub struct Response {
    head: http::response::Parts,
    body: hyper::body::Incoming,
    peer: String,
    kept: Option<Kept>,
}

impl Response {
    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// Headers.
    #[must_use]
    pub fn headers(&self) -> &http::HeaderMap {
        &self.head.headers
    }

    /// Peer that answered.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Next piece of the body, or `None` at its proper end.
    ///
    /// # Errors
    /// [`BodyError::Broken`] if the connection broke off first.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let piece = next_piece(&mut self.body).await;
        if piece.is_none() {
            self.release();
        }
        piece
    }

    /// Whole body of at most `limit` bytes, if it comes within `span`.
    ///
    /// # Errors
    /// [`NetError::Answer`] if it is not whole.
    pub async fn read(&mut self, limit: u64, span: Duration) -> Result<Vec<u8>, NetError> {
        let Some(timer) = self.kept.as_ref().map(|k| k.client.timer().clone()) else {
            return Ok(Vec::new());
        };
        let bytes = read_all(&mut self.body, limit, span, &timer)
            .await
            .context(AnswerSnafu { peer: &self.peer })?;
        self.release();
        Ok(bytes)
    }

    fn release(&mut self) {
        if let Some(kept) = self.kept.take() {
            kept.client.keep(kept.address, kept.sender);
        }
    }
}

fn parse_address(peer: &str) -> Result<SocketAddr, NetError> {
    peer.parse()
        .ok()
        .ok_or_else(|| AddressSnafu { peer }.build())
}

fn with_host(request: http::Request<Bytes>, peer: &str) -> Request {
    let (mut head, body) = request.into_parts();
    if let Ok(host) = http::HeaderValue::from_str(peer) {
        head.headers.insert(http::header::HOST, host);
    }
    Request::from_parts(head, Full::new(body))
}
