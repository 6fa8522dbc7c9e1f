//! Binding a listener, starting its server and logging the result.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_net::{Handler, MemoryBudget, Server, ServerOptions, bind};
use snafu::{ResultExt, Snafu};

use crate::{Log, events, field};

/// A listener could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("step bind, listener {purpose}, address {address}: {source}"))]
pub struct ListenError {
    /// What the listener is for, as logged.
    purpose: &'static str,
    /// Address to bind.
    address: SocketAddr,
    /// Error of the operating system.
    source: io::Error,
}

/// Binds `address` and starts to serve `handler` there, on a task of its own and within `budget`.
///
/// # Errors
/// [`ListenError`] if the address can't be bound; the failure is already logged.
pub fn listen(
    purpose: &'static str,
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    options: ServerOptions,
    budget: &MemoryBudget,
    log: &Log,
) -> Result<Server, ListenError> {
    let bind_result = bind(address);
    match &bind_result {
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
    let listener = bind_result.context(ListenSnafu { purpose, address })?;
    let server = Server::with_budget(options, handler, budget);
    let acceptor = server.clone();
    monoio::spawn(async move { acceptor.serve(listener).await });
    Ok(server)
}
