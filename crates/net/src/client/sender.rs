//! The two protocols of a connection, as the client uses them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1, http2};
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio_compat::hyper::{MonoioExecutor, MonoioTimer};

use super::{ClientOptions, Request};
use crate::Protocol;
use crate::fair::FairStream;
use crate::protocol::{CONNECTION_WINDOW, STREAM_WINDOW};

/// Time after which a silent HTTP/2 peer with open streams is asked for a sign of life.
const PING_SPAN: Duration = Duration::from_secs(5);

/// Time for that sign; without it the connection and its streams are given up.
const PONG_SPAN: Duration = Duration::from_secs(5);

/// Streams opened before the peer has said how many it takes.
const FIRST_STREAMS: usize = 1000;

/// Where requests of one connection go in.
pub(super) enum Sender {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

impl Sender {
    pub(super) async fn try_send(
        &mut self,
        request: Request,
    ) -> Result<http::Response<Incoming>, TrySendError<Request>> {
        match self {
            Self::Http1(sender) => sender.try_send_request(request).await,
            Self::Http2(sender) => sender.try_send_request(request).await,
        }
    }

    /// Another handle of a connection that carries several requests at once.
    pub(super) fn share(&self) -> Option<Self> {
        match self {
            Self::Http1(_) => None,
            Self::Http2(sender) => Some(Self::Http2(sender.clone())),
        }
    }

    pub(super) fn is_shared(&self) -> bool {
        matches!(self, Self::Http2(_))
    }

    pub(super) fn is_ready(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_ready(),
            Self::Http2(sender) => sender.is_ready(),
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_closed(),
            Self::Http2(sender) => sender.is_closed(),
        }
    }
}

/// Starts the protocol on `stream`; a task of its own drives it.
pub(super) async fn handshake(
    stream: TcpStreamPoll,
    options: &ClientOptions,
) -> Result<Sender, hyper::Error> {
    let io = FairStream::new(stream);
    // The error of a connection's end reaches the requests under way, if there are any.
    match options.protocol {
        Protocol::Http1 => {
            let (sender, connection) = http1::Builder::new()
                .max_buf_size(options.head.max(8192))
                .handshake(io)
                .await?;
            monoio::spawn(async move { drop(connection.await) });
            Ok(Sender::Http1(sender))
        }
        Protocol::Http2 => {
            let (sender, connection) = http2::Builder::new(MonoioExecutor)
                .timer(MonoioTimer)
                .keep_alive_interval(PING_SPAN)
                .keep_alive_timeout(PONG_SPAN)
                .initial_stream_window_size(STREAM_WINDOW)
                .initial_connection_window_size(CONNECTION_WINDOW)
                .initial_max_send_streams(FIRST_STREAMS)
                // By default the 1,024th late frame of a cancelled stream would end all others.
                .max_local_error_reset_streams(None)
                .max_header_list_size(u32::try_from(options.head).unwrap_or(u32::MAX))
                .handshake(io)
                .await?;
            monoio::spawn(async move { drop(connection.await) });
            Ok(Sender::Http2(sender))
        }
    }
}
