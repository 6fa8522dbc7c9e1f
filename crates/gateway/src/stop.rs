//! A planned stop: until when the process forwards responses, and what it still accepts.

use std::cell::{Cell, RefCell};

use pumicecleat_ops::Stop;
use pumicecleat_policy::ResponseTimes;
use pumicecleat_types::Millis;

/// Time that a response may take longer than expected, on its way and because of other requests.
const SPARE_TIME: Millis = Millis(100);

/// Part of the expected time by which it may take longer in addition.
const SPARE_DIVISOR: u64 = 8;

/// Part of the recent responses that must have been quick enough for another to be sent.
const PART: f64 = 0.95;

/// The same for streams. Their lengths differ widely, and most of the callers refused early in a stop come back to this
/// process, because the platform still sends them here.
const STREAM_PART: f64 = 0.5;

/// What a stop needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopQuery<'a> {
    pub(crate) route: &'a str,
    pub(crate) service: &'a str,
    pub(crate) is_stream: bool,
    /// Time that the response takes at most.
    pub(crate) limit: Millis,
    pub(crate) objective: Millis,
}

/// Progress of a stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    #[default]
    Running,
    /// Requests are accepted if there is time for them, and each response tells its caller to close the connection
    /// and use another gateway.
    Draining,
    /// Requests to model engines are refused, because their responses may not complete before the process
    /// ends.
    Closing,
}

/// State of a stop.
pub(crate) struct StopState {
    phase: Cell<StopPhase>,
    /// Time of the last responses; `None` if no stop was requested.
    ends_at: Cell<Option<Millis>>,
    /// Requested when requests without a response get a final one.
    ending: Stop,
    times: RefCell<ResponseTimes>,
}

impl Default for StopState {
    fn default() -> Self {
        Self {
            phase: Cell::default(),
            ends_at: Cell::default(),
            ending: Stop::without_signals(),
            times: RefCell::default(),
        }
    }
}

impl StopState {
    pub(crate) fn phase(&self) -> StopPhase {
        self.phase.get()
    }

    /// Starts the stop; the last responses end at `ends_at`.
    pub(crate) fn start(&self, ends_at: Millis) {
        self.phase.set(StopPhase::Draining);
        self.ends_at.set(Some(ends_at));
    }

    pub(crate) fn close(&self) {
        self.phase.set(StopPhase::Closing);
    }

    /// Has all requests without a response get a final one.
    pub(crate) fn end(&self) {
        self.ending.request_once();
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.ending.is_requested()
    }

    /// Waits until requests without a response get a final one.
    pub(crate) async fn ending(&self) {
        self.ending.requested().await;
    }

    /// Records that a request of `service` is sent.
    pub(crate) fn record_request(&self, service: &str) {
        self.times.borrow_mut().record_request(service);
    }

    /// Records how long a response took from the first send of its request.
    pub(crate) fn record_response(&self, route: &str, service: &str, took: Millis) {
        self.times.borrow_mut().record(route, service, took);
    }

    /// Time by which a request must be sent for its response to be whole before the process ends; `None` if no stop was
    /// requested. The response is expected to meet its objective if the service has had no request yet.
    pub(crate) fn latest_send(&self, query: &StopQuery<'_>) -> Option<Millis> {
        let ends_at = self.ends_at.get()?;
        let part = if query.is_stream { STREAM_PART } else { PART };
        let times = self.times.borrow();
        let unused = || (!times.has_requests(query.service)).then_some(query.objective);
        let recent = times.quantile(query.route, query.service, part);
        let needed = recent.or_else(unused).map_or(query.limit, |expected| {
            let spare = SPARE_TIME + Millis(expected.0 / SPARE_DIVISOR);
            query.limit.min(expected + spare)
        });
        Some(ends_at - needed)
    }
}
