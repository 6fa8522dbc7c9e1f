//! The log service's requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::Method;
use pumicecleat_net::{Reply, Timer, json_reply};

use super::LogFaults;
use super::message::{Append, Appended, Gone, Page};
use super::rate::Rate;
use super::stream::Stream;
use crate::serve::{
    Call, FaultCell, Part, Running, StandinError, Work, broken, error, not_found, retry_later,
    start,
};

const PAGE_LIMIT: u64 = 10_000;
const PAGE_DEFAULT: u64 = 1000;
const WAIT_LIMIT_MS: u64 = 60_000;

/// Options of the log service.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Appends in any second, in all streams.
    pub rate: usize,
    /// Records kept in each stream.
    pub keep_count: Option<u64>,
    /// Time that records are kept, milliseconds.
    pub keep_ms: Option<u64>,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            listen: crate::ANY_PORT,
            rate: 400,
            keep_count: None,
            keep_ms: None,
        }
    }
}

/// The log service.
pub struct Log {
    options: LogOptions,
    timer: Timer,
    faults: FaultCell<LogFaults>,
    state: RefCell<State>,
}

struct State {
    streams: BTreeMap<String, Stream>,
    rate: Rate,
    clock: u64,
}

impl Log {
    /// Starts the service on this thread's loop.
    ///
    /// # Errors
    /// [`StandinError`] if the address can't be bound.
    pub fn start(options: LogOptions, timer: &Timer) -> Result<Running<LogFaults>, StandinError> {
        let state = State {
            streams: BTreeMap::new(),
            rate: Rate::new(options.rate),
            clock: 0,
        };
        let log = Rc::new(Self {
            options,
            timer: timer.clone(),
            faults: FaultCell::default(),
            state: RefCell::new(state),
        });
        start(&log, options.listen, timer)
    }

    async fn serve(&self, call: Call) -> Reply {
        let Some(name) = stream_name(&call.path) else {
            return not_found();
        };
        match call.method {
            Method::POST => self.append(name, &call),
            Method::GET => self.read(name, &call).await,
            _ => not_found(),
        }
    }

    fn append(&self, name: &str, call: &Call) -> Reply {
        if self.faults.take(|f| &mut f.reject) {
            return retry_later(503, "refused on request");
        }
        let append = match call.json::<Append>() {
            Ok(append) => append,
            Err(refusal) => return *refusal,
        };
        let mut state = self.state.borrow_mut();
        if !state.rate.admit(self.timer.now()) {
            return retry_later(429, "too many appends");
        }
        let at = state.tick();
        let stream = state.streams.entry(name.into()).or_default();
        let first = stream.append(append.records, at);
        self.trim(name, stream, at);
        if self.faults.take(|f| &mut f.lose_replies) {
            return broken();
        }
        json_reply(200, &Appended { first, at })
    }

    async fn read(&self, name: &str, call: &Call) -> Reply {
        let from = call.number("from", 0);
        let max = call.number("max", PAGE_DEFAULT);
        let wait = call.number("wait_ms", 0);
        let (Some(from), Some(max), Some(wait)) = (from, max, wait) else {
            return error(400, "from, max and wait_ms are numbers");
        };
        self.wait_for(name, from, wait).await;
        self.page(name, from, max)
    }

    async fn wait_for(&self, name: &str, offset: u64, wait_ms: u64) {
        let span = Duration::from_millis(wait_ms.min(WAIT_LIMIT_MS));
        let waiting = async {
            loop {
                let grown = {
                    let mut state = self.state.borrow_mut();
                    let stream = state.streams.entry(name.into()).or_default();
                    if stream.next() > offset {
                        return;
                    }
                    stream.grown.next()
                };
                grown.wait().await;
            }
        };
        // The page tells whether a record came.
        let _ = self.timer.within(span, waiting).await;
    }

    fn page(&self, name: &str, from: u64, max: u64) -> Reply {
        let mut state = self.state.borrow_mut();
        let now = state.tick();
        let stream = state.streams.entry(name.into()).or_default();
        self.trim(name, stream, now);
        let (first, next) = (stream.first(), stream.next());
        if from < first {
            return json_reply(410, &Gone { first, next });
        }
        let max = usize::try_from(max.min(PAGE_LIMIT)).unwrap_or(usize::MAX);
        let records = stream.read(from, max);
        json_reply(
            200,
            &Page {
                records,
                first,
                next,
            },
        )
    }

    fn trim(&self, name: &str, stream: &mut Stream, now: u64) {
        if let Some(offset) = self.faults.get().trim_before.get(name) {
            stream.trim_before(*offset);
        }
        if let Some(count) = self.options.keep_count {
            stream.trim_to(count);
        }
        if let Some(span) = self.options.keep_ms {
            stream.trim_older(now.saturating_sub(span));
        }
    }
}

impl State {
    /// Log's clock, which never goes back.
    fn tick(&mut self) -> u64 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.clock = self.clock.max(now);
        self.clock
    }
}

impl Part for Log {
    type Faults = LogFaults;

    fn faults(&self) -> &FaultCell<LogFaults> {
        &self.faults
    }

    fn answer(self: Rc<Self>, call: Call) -> Work {
        Box::pin(async move {
            let faults = self.faults.get().clone();
            if faults.stall {
                std::future::pending::<()>().await;
            }
            if faults.down {
                return retry_later(503, "down on request");
            }
            let reply = self.serve(call).await;
            self.timer
                .sleep(Duration::from_millis(faults.delay_ms))
                .await;
            reply
        })
    }
}

/// Name in `/v1/streams/NAME/records`.
fn stream_name(path: &str) -> Option<&str> {
    let name = path
        .strip_prefix("/v1/streams/")?
        .strip_suffix("/records")?;
    let valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b);
    (!name.is_empty() && name.bytes().all(valid)).then_some(name)
}
