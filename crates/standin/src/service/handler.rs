//! The plain service's requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use pumicecleat_net::{Reply, Timer, json_reply, plain_reply};
use serde::Serialize;

use super::ServiceFaults;
use super::effects::Effects;
use crate::serve::{
    Call, Change, FaultCell, Part, Running, StandinError, Work, broken, cut, error, not_found,
    retry_later, start,
};

/// Options of the plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time from a request's effect to its answer, milliseconds.
    pub work_ms: u64,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: crate::ANY_PORT,
            work_ms: 0,
        }
    }
}

/// The plain service.
pub struct Service {
    work_ms: u64,
    timer: Timer,
    faults: FaultCell<ServiceFaults>,
    lifted: Change,
    effects: RefCell<Effects>,
}

#[derive(Serialize)]
struct Answer<'a> {
    path: &'a str,
    effect: u64,
    key: &'a str,
}

impl Service {
    /// Starts the service on this thread's loop.
    ///
    /// # Errors
    /// [`StandinError`] if the address can't be bound.
    pub fn start(
        options: ServiceOptions,
        timer: &Timer,
    ) -> Result<Running<ServiceFaults>, StandinError> {
        let service = Rc::new(Self {
            work_ms: options.work_ms,
            timer: timer.clone(),
            faults: FaultCell::default(),
            lifted: Change::default(),
            effects: RefCell::default(),
        });
        start(&service, options.listen, timer)
    }

    async fn serve(&self, call: &Call) -> Reply {
        while self.faults.get().freeze {
            self.lifted.next().wait().await;
        }
        if self.faults.get().down {
            return retry_later(503, "down on request");
        }
        if call.method == Method::GET && call.path == "/health" {
            return plain_reply(200, "ok\n");
        }
        if self.faults.take(|f| &mut f.fail) {
            return error(500, "failed on request, without effect");
        }
        self.take_effect(call).await
    }

    async fn take_effect(&self, call: &Call) -> Reply {
        let key = key(call);
        let effect = self.effects.borrow_mut().record(&call.path, key);
        let delay = self.work_ms + self.faults.get().delay_ms;
        self.timer.sleep(Duration::from_millis(delay)).await;
        if self.faults.take(|f| &mut f.lose_answers) {
            return broken();
        }
        if self.faults.take(|f| &mut f.fail_after) {
            return error(500, "failed on request, after the effect");
        }
        let path = &call.path;
        let reply = json_reply(200, &Answer { path, effect, key });
        if self.faults.take(|f| &mut f.truncate) {
            cut(reply, &self.timer)
        } else {
            reply
        }
    }

    fn list(&self) -> Reply {
        json_reply(200, &self.effects.borrow().list())
    }
}

impl Part for Service {
    type Faults = ServiceFaults;

    fn faults(&self) -> &FaultCell<ServiceFaults> {
        &self.faults
    }

    fn faults_set(&self) {
        self.lifted.notify();
    }

    fn answer(self: Rc<Self>, call: Call) -> Work {
        Box::pin(async move {
            match (&call.method, call.path.as_str()) {
                (&Method::GET, "/effects") => self.list(),
                (_, "/effects") => not_found(),
                _ => self.serve(&call).await,
            }
        })
    }
}

/// What the effect is counted by.
fn key(call: &Call) -> &str {
    let header = |name| call.header(name);
    header("idempotency-key")
        .or_else(|| header("x-request-id"))
        .unwrap_or_default()
}
