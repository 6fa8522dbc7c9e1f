//! Reports to entries, sent at the interval that each entry sets, and at once after a change that
//! entries must learn of.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_util::future::select;
use pumicecleat_net::post;
use pumicecleat_types::{LoadFigures, Millis, Report, ReportReply};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::dispatch::Dispatcher;
use crate::state::State;

const REPORT_PATH: &str = "/peer/v1/report";
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for new entries.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before the next report to an entry that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Shortest and longest interval between reports that an entry may set, in milliseconds.
const REPORT_INTERVAL_MS: std::ops::RangeInclusive<u64> = 50..=60_000;

/// Wake-up channels of the reporter tasks, by entry.
#[derive(Debug, Default)]
pub(crate) struct Reporters {
    wakers: std::cell::RefCell<BTreeMap<String, Sender<()>>>,
    seq: std::cell::Cell<u64>,
}

impl Reporters {
    /// Wakes every reporter, so that it sends a report now.
    pub(crate) fn wake_all(&self) {
        for waker in self.wakers.borrow().values() {
            // If the channel is full, a report is due already.
            let _ = waker.try_send(());
        }
    }

    fn next_seq(&self) -> u64 {
        self.seq.set(self.seq.get() + 1);
        self.seq.get()
    }
}

/// State that one entry has from earlier reports; unchanged parts are not sent again.
#[derive(Debug, Default)]
struct Reported {
    resident: Option<Vec<String>>,
}

impl State {
    /// Sends a report to every entry now.
    pub(crate) fn request_reports(&self) {
        self.reporters.wake_all();
    }

    /// Runs a reporter for each known entry; never returns.
    pub(crate) async fn run_reporters(self: Rc<Self>) {
        loop {
            let entries = self.entries.all();
            self.reporters
                .wakers
                .borrow_mut()
                .retain(|e, _| entries.contains(e));
            for entry in entries {
                if !self.reporters.wakers.borrow().contains_key(&entry) {
                    self.start_reporter(&entry);
                }
            }
            self.timer.sleep(ENTRY_CHECK_INTERVAL).await;
        }
    }

    fn start_reporter(self: &Rc<Self>, entry: &str) {
        let (waker, wake_ups) = async_channel::bounded(1);
        self.reporters
            .wakers
            .borrow_mut()
            .insert(entry.to_owned(), waker);
        let state = Rc::clone(self);
        let entry = entry.to_owned();
        monoio::spawn(async move { state.run_reporter(&entry, wake_ups).await });
    }

    /// Sends reports to one entry until the entry is no longer known.
    async fn run_reporter(&self, entry: &str, wake_ups: Receiver<()>) {
        let mut reported = Reported::default();
        while !wake_ups.is_closed() {
            let delay = self.send_report(entry, &mut reported).await;
            let sleep = std::pin::pin!(self.timer.sleep(delay));
            let wake_up = std::pin::pin!(wake_ups.recv());
            select(sleep, wake_up).await;
        }
    }

    /// Sends one report and returns the delay until the next.
    async fn send_report(&self, entry: &str, reported: &mut Reported) -> Duration {
        let resident = self
            .backend()
            .map(|b| b.dispatcher.resident())
            .unwrap_or_default();
        let changed = reported.resident.as_ref() != Some(&resident);
        let report = self.build_report(changed.then(|| resident.clone()));
        let reply =
            post::<_, ReportReply>(&self.client, entry, REPORT_PATH, &report, REPORT_TIMEOUT).await;
        self.entries.record_reply(entry, reply.is_ok());
        let Ok(reply) = reply else {
            reported.resident = None;
            return RETRY_DELAY;
        };
        reported.resident = (!reply.needs_full_report).then_some(resident);
        self.config.observe_revision(reply.revision);
        let ms = if reply.needs_full_report {
            0
        } else {
            reply.next_ms
        };
        let interval_ms = ms.clamp(*REPORT_INTERVAL_MS.start(), *REPORT_INTERVAL_MS.end());
        self.staggered_delay(entry, interval_ms)
    }

    /// Delay until the next report, half to three halves of the interval. Reports to different
    /// entries are staggered because their replies announce new revisions of the configuration.
    /// Sent all at once, they would announce a revision only once in each interval.
    fn staggered_delay(&self, entry: &str, interval_ms: u64) -> Duration {
        let seed = xxh3_64(self.vm().as_str().as_bytes());
        let phase = xxh3_64_with_seed(entry.as_bytes(), seed) % interval_ms;
        let earliest = self.timer.now().0 + interval_ms / 2;
        let rest = (phase + interval_ms - earliest % interval_ms) % interval_ms;
        Duration::from_millis(interval_ms / 2 + rest)
    }

    fn build_report(&self, resident: Option<Vec<String>>) -> Report {
        let common = &self.settings.common;
        let backend = self.backend();
        let dispatcher = backend.as_ref().map(|b| &b.dispatcher);
        Report {
            vm: self.vm().clone(),
            incarnation: self.incarnation,
            seq: self.reporters.next_seq(),
            address: self.address.clone(),
            pool: self.pool().clone(),
            centre: common.centre.clone(),
            region: common.region.clone(),
            leaving: self.leaving.get(),
            healthy: self.healthy.get(),
            load: dispatcher.map_or_else(LoadFigures::default, Dispatcher::figures),
            resident,
            loading: dispatcher.and_then(Dispatcher::loading),
            revision: self.config.revision(),
        }
    }

    /// Time since this side was started.
    pub(crate) fn uptime(&self) -> Millis {
        self.timer.now()
    }
}
