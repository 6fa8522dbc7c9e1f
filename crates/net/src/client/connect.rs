//! A connection of the client, with the options that must be set before it opens.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use socket2::{Domain, Socket, TcpKeepalive, Type};

use super::ClientOptions;

/// Silence after which a connection is probed, and time between two probes: the shortest that the
/// system takes, as a kept connection that is dead costs the next request its outcome.
const PROBE_SPAN: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is closed.
const PROBES: u32 = 2;

/// Bytes that a connection may hold in the socket in each direction. The system lets them grow to megabytes otherwise.
pub(crate) const UPSTREAM_BYTES: usize = 32 * 1024;

/// Opens a connection to `address`.
pub(super) async fn connect(address: SocketAddr, options: &ClientOptions) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking(),
        None,
    )?;
    // Without it small requests wait for an acknowledgement.
    socket.set_tcp_nodelay(true)?;
    socket.set_recv_buffer_size(UPSTREAM_BYTES)?;
    socket.set_send_buffer_size(UPSTREAM_BYTES)?;
    let probes = TcpKeepalive::new().with_time(PROBE_SPAN);
    let probes = probes.with_interval(PROBE_SPAN).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    if options.ack_span.is_some() {
        socket.set_tcp_user_timeout(options.ack_span)?;
    }
    if options.abort {
        socket.set_linger(Some(Duration::ZERO))?;
    }
    if let Err(e) = socket.connect(&address.into())
        && !is_under_way(&e)
    {
        return Err(e);
    }
    let status = socket.try_clone()?;
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    match status.take_error()? {
        Some(e) => Err(e),
        None => Ok(stream),
    }
}

fn is_under_way(error: &io::Error) -> bool {
    let text = error.raw_os_error();
    text == Some(IN_PROGRESS) || error.kind() == io::ErrorKind::WouldBlock
}

/// EINPROGRESS, for which the standard library has no kind yet.
const IN_PROGRESS: i32 = 115;
