//! The server's handler: reads a request whole, serves `/faults`, passes the rest to its part.

use std::cell::{Ref, RefCell, RefMut};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Method};
use pumicecleat_net::{Handler, Incoming, Reply, Timer, json_reply, read_all};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error;

const BODY_LIMIT: u64 = 16 * 1024 * 1024;
const BODY_SPAN: Duration = Duration::from_secs(30);

/// Reply that refuses.
pub(crate) type Refusal = Box<Reply>;

/// Answer under way.
pub(crate) type Work = Pin<Box<dyn Future<Output = Reply>>>;

/// A request, whole.
pub(crate) struct Call {
    /// Method.
    pub(crate) method: Method,
    /// Path without its query.
    pub(crate) path: String,
    /// Query, or nothing.
    pub(crate) query: String,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Call {
    /// Header's text, if there is such a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Value of a query field.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Number in a query field, or `default` if it is not there; nothing if it is no number.
    pub(crate) fn number(&self, name: &str, default: u64) -> Option<u64> {
        match self.field(name) {
            Some(text) => text.parse().ok(),
            None => Some(default),
        }
    }

    /// Body as JSON, or the reply that says why not.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body).map_err(|e| error(400, &e.to_string()).into())
    }
}

/// Faults in force.
pub(crate) struct FaultCell<F>(Rc<RefCell<F>>);

impl<F> Clone for FaultCell<F> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<F: Default> Default for FaultCell<F> {
    fn default() -> Self {
        Self(Rc::default())
    }
}

impl<F> FaultCell<F> {
    /// Faults.
    pub(crate) fn get(&self) -> Ref<'_, F> {
        self.0.borrow()
    }

    /// Faults, to change.
    pub(crate) fn edit(&self) -> RefMut<'_, F> {
        self.0.borrow_mut()
    }

    /// Takes one from a count, and tells whether there was one.
    pub(crate) fn take(&self, count: impl FnOnce(&mut F) -> &mut u64) -> bool {
        let mut faults = self.edit();
        let count = count(&mut faults);
        let some = *count > 0;
        *count = count.saturating_sub(1);
        some
    }
}

/// A stand-in behind its server.
pub(crate) trait Part: 'static {
    /// Faults it knows.
    type Faults: Clone + Serialize + DeserializeOwned + 'static;

    /// Faults in force.
    fn faults(&self) -> &FaultCell<Self::Faults>;

    /// Faults were set anew.
    fn faults_set(&self) {}

    /// Answer to a request.
    fn answer(self: Rc<Self>, call: Call) -> Work;
}

/// Handler before a part.
pub(crate) struct Front<P> {
    /// Part.
    pub(crate) part: Rc<P>,
    /// Timer.
    pub(crate) timer: Timer,
}

impl<P: Part> Handler for Front<P> {
    fn handle(&self, request: Incoming, _: SocketAddr) -> Work {
        let part = Rc::clone(&self.part);
        let timer = self.timer.clone();
        Box::pin(async move {
            match read_call(request, &timer).await {
                Ok(call) if call.path == "/faults" => answer_faults(&*part, &call),
                Ok(call) => part.answer(call).await,
                Err(refusal) => *refusal,
            }
        })
    }
}

async fn read_call(request: Incoming, timer: &Timer) -> Result<Call, Refusal> {
    let (head, mut body) = request.into_parts();
    let body = read_all(&mut body, BODY_LIMIT, BODY_SPAN, timer)
        .await
        .map_err(|e| Refusal::from(error(400, &e.to_string())))?;
    Ok(Call {
        method: head.method,
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        headers: head.headers,
        body: body.to_vec(),
    })
}

fn answer_faults<P: Part>(part: &P, call: &Call) -> Reply {
    if call.method == Method::POST {
        match call.json::<P::Faults>() {
            Ok(faults) => *part.faults().edit() = faults,
            Err(refusal) => return *refusal,
        }
        part.faults_set();
    }
    json_reply(200, &*part.faults().get())
}
