//! A stand-in that serves, and how it starts.

use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_net::{Server, ServerOptions, Timer, bind};
use snafu::{ResultExt, Snafu};

use super::front::{Front, Part};

/// A stand-in could not start.
#[derive(Debug, Snafu)]
pub enum StandinError {
    /// Address can't be bound.
    #[snafu(display("step listen, address {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// A stand-in that serves; it serves on when this is dropped.
pub struct Running<F> {
    /// Address it listens on, with the port it was given.
    pub address: SocketAddr,
    server: Server,
    read: Box<dyn Fn() -> F>,
    write: Box<dyn Fn(F)>,
}

impl<F> Running<F> {
    /// Faults in force.
    #[must_use]
    pub fn faults(&self) -> F {
        (self.read)()
    }

    /// Sets faults, as `POST /faults` does.
    pub fn set_faults(&self, faults: F) {
        (self.write)(faults);
    }

    /// Sets the faults that `change` makes, and no others.
    pub fn inject(&self, change: impl FnOnce(&mut F))
    where
        F: Default,
    {
        let mut faults = F::default();
        change(&mut faults);
        self.set_faults(faults);
    }

    /// Takes no further connection or request; answers under way go on.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// Serves `part` on `address`.
pub(crate) fn start<P: Part>(
    part: &Rc<P>,
    address: SocketAddr,
    timer: &Timer,
) -> Result<Running<P::Faults>, StandinError> {
    let listener = bind(address).context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let front = Front {
        part: Rc::clone(part),
        timer: timer.clone(),
    };
    let server = Server::new_ext(ServerOptions::default(), Rc::new(front), timer);
    let accepting = server.clone();
    monoio::spawn(async move { accepting.serve(listener).await });
    let reader = Rc::clone(part);
    let writer = Rc::clone(part);
    Ok(Running {
        address,
        server,
        read: Box::new(move || reader.faults().get().clone()),
        write: Box::new(move |faults| {
            *writer.faults().edit() = faults;
            writer.faults_set();
        }),
    })
}
