//! Listeners, whose connections have sockets with buffers of a fixed size.

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

/// Bytes that a caller's connection may hold in the socket for requests: enough for a body of some megabytes to come
/// in time over a way of 100 ms.
pub(crate) const RECEIVE_BYTES: usize = 64 * 1024;

/// Bytes that a caller's connection may hold in the socket for responses.
pub(crate) const SEND_BYTES: usize = 32 * 1024;

/// Listener on `address`.
///
/// # Errors
/// The system's, if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = listener_options();
    TcpListener::bind_with_config(address, &options)
}

/// Listener on `address` that no other socket shares, even one in its last moments.
///
/// # Errors
/// The system's, if any process holds the address.
pub fn bind_exclusive(address: SocketAddr) -> io::Result<TcpListener> {
    let options = listener_options().reuse_addr(false);
    TcpListener::bind_with_config(address, &options)
}

/// Options of a listener. The system lets buffers of sockets grow to megabytes otherwise.
fn listener_options() -> ListenerOpts {
    let options = ListenerOpts::new().reuse_port(false);
    options
        .recv_buf_size(RECEIVE_BYTES)
        .send_buf_size(SEND_BYTES)
}
