//! A listener with its server, and the lines about it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_net::{Handler, Server, ServerOptions, Timer, bind};
use snafu::{ResultExt, Snafu};

use crate::{Log, events, field};

/// A listener can't be bound.
#[derive(Debug, Snafu)]
#[snafu(display("step bind, listener {purpose}, address {address}: {source}"))]
pub struct ListenError {
    /// Use of the listener.
    purpose: &'static str,
    /// Address.
    address: SocketAddr,
    /// Cause.
    source: io::Error,
}

/// Serves `handler` at `address` from now on.
///
/// # Errors
/// [`ListenError`] if the address can't be bound; it has been logged.
pub fn listen(
    purpose: &'static str,
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    options: ServerOptions,
    timer: &Timer,
    log: &Log,
) -> Result<Server, ListenError> {
    let bound = bind(address);
    match &bound {
        Ok(_) => {
            let fields = [field("purpose", purpose), field("address", &address)];
            log.emit(&events::LISTENING, &fields);
        }
        Err(e) => {
            let fields = [
                field("purpose", purpose),
                field("address", &address),
                field("error", e),
            ];
            log.emit_and_flush(&events::BIND_FAILED, &fields);
        }
    }
    let listener = bound.context(ListenSnafu { purpose, address })?;
    let server = Server::new_ext(options, handler, timer);
    let accepting = server.clone();
    monoio::spawn(async move { accepting.serve(listener).await });
    Ok(server)
}
