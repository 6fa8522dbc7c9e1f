//! The weight store's requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header::ETAG;
use http::{HeaderValue, Method};
use pumicecleat_net::{Reply, Timer, plain_reply};
use xxhash_rust::xxh3::xxh3_64;

use super::StoreFaults;
use super::share::Share;
use crate::serve::{
    Call, Change, FaultCell, Part, Running, StandinError, Work, error, not_found, retry_later,
    start,
};

/// Options of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time of one load at full speed, milliseconds.
    pub load_ms: u32,
    /// Speed of all loads together when there are several, as a share of full speed.
    pub shared: f64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            listen: crate::ANY_PORT,
            load_ms: 500,
            shared: 0.8,
        }
    }
}

/// The weight store.
pub struct Store {
    options: StoreOptions,
    timer: Timer,
    faults: FaultCell<StoreFaults>,
    share: RefCell<Share>,
    changed: Change,
}

impl Store {
    /// Starts the store on this thread's loop.
    ///
    /// # Errors
    /// [`StandinError`] if the address can't be bound.
    pub fn start(
        options: StoreOptions,
        timer: &Timer,
    ) -> Result<Running<StoreFaults>, StandinError> {
        let store = Rc::new(Self {
            options,
            timer: timer.clone(),
            faults: FaultCell::default(),
            share: RefCell::new(Share::new(options.shared)),
            changed: Change::default(),
        });
        start(&store, options.listen, timer)
    }

    async fn serve(self: Rc<Self>, call: Call) -> Reply {
        if self.faults.get().down {
            return retry_later(503, "down on request");
        }
        let Some(path) = call.path.strip_prefix("/v1/weights/") else {
            return not_found();
        };
        if self.faults.get().missing.contains(path) {
            return error(404, "no such weights");
        }
        match call.method {
            Method::HEAD => self.weights(path),
            Method::GET => {
                Rc::clone(&self).load().await;
                if self.faults.take(|f| &mut f.fail) {
                    return error(500, "failed on request");
                }
                self.weights(path)
            }
            _ => not_found(),
        }
    }

    /// Waits as long as a load takes beside the others.
    async fn load(self: Rc<Self>) {
        let work = f64::from(self.options.load_ms);
        let id = self.share.borrow_mut().join(self.timer.now(), work);
        let store = Rc::clone(&self);
        let _turn = Turn { store, id };
        self.changed.notify();
        loop {
            let due = self.share.borrow_mut().due(self.timer.now(), id);
            if due <= 0.0 {
                return;
            }
            let span = Duration::try_from_secs_f64(due / 1000.0).unwrap_or(Duration::MAX);
            let span = span.clamp(Duration::from_millis(1), Duration::from_hours(1));
            // Whether others came or the time is over, the share tells what is left.
            let _ = self.timer.within(span, self.changed.next().wait()).await;
        }
    }

    fn weights(&self, path: &str) -> Reply {
        let text = format!("weights {path}\n");
        let digest = format!("\"{:016x}\"", xxh3_64(text.as_bytes()));
        let corrupt = self.faults.get().corrupt.contains(path);
        let mut reply = if corrupt {
            plain_reply(200, &text.to_uppercase())
        } else {
            plain_reply(200, &text)
        };
        if let Ok(digest) = HeaderValue::from_str(&digest) {
            reply.headers_mut().insert(ETAG, digest);
        }
        reply
    }
}

/// Place of a load among those under way, given up when dropped.
struct Turn {
    store: Rc<Store>,
    id: u64,
}

impl Drop for Turn {
    fn drop(&mut self) {
        let now = self.store.timer.now();
        self.store.share.borrow_mut().leave(now, self.id);
        self.store.changed.notify();
    }
}

impl Part for Store {
    type Faults = StoreFaults;

    fn faults(&self) -> &FaultCell<StoreFaults> {
        &self.faults
    }

    fn faults_set(&self) {
        let factor = self.faults.get().slow_factor;
        let now = self.timer.now();
        self.share.borrow_mut().slow_down(now, factor);
        self.changed.notify();
    }

    fn answer(self: Rc<Self>, call: Call) -> Work {
        Box::pin(self.serve(call))
    }
}
