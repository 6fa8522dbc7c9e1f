//! Reports to entries: at the pace that each entry sets, and at once when something changed that
//! it must know.

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

const PATH: &str = "/peer/v1/report";
const SPAN: Duration = Duration::from_secs(1);
/// Time between two looks for new entries.
const PAUSE: Duration = Duration::from_millis(200);
/// Time until the next try at an entry that did not answer.
const RETRY: Duration = Duration::from_millis(500);
/// Shortest and longest time between two reports that an entry may ask for.
const PACE: std::ops::RangeInclusive<u64> = 50..=60_000;

/// Wakes the reporters.
#[derive(Debug, Default)]
pub(crate) struct Reporters {
    wakes: std::cell::RefCell<BTreeMap<String, Sender<()>>>,
    seq: std::cell::Cell<u64>,
}

impl Reporters {
    /// Makes a report due at every entry.
    pub(crate) fn wake_all(&self) {
        for wake in self.wakes.borrow().values() {
            // A full channel holds the same message already.
            let _ = wake.try_send(());
        }
    }

    fn next_seq(&self) -> u64 {
        self.seq.set(self.seq.get() + 1);
        self.seq.get()
    }
}

/// What one entry knows of this side.
#[derive(Debug, Default)]
struct Told {
    resident: Option<Vec<String>>,
}

impl State {
    /// Makes a report due at every entry.
    pub(crate) fn request_reports(&self) {
        self.reporters.wake_all();
    }

    /// Keeps a reporter for each entry; never ends.
    pub(crate) async fn run_reporters(self: Rc<Self>) {
        loop {
            let entries = self.entries.all();
            self.reporters
                .wakes
                .borrow_mut()
                .retain(|e, _| entries.contains(e));
            for entry in entries {
                if !self.reporters.wakes.borrow().contains_key(&entry) {
                    self.start_reporter(&entry);
                }
            }
            self.timer.sleep(PAUSE).await;
        }
    }

    fn start_reporter(self: &Rc<Self>, entry: &str) {
        let (wake, due) = async_channel::bounded(1);
        self.reporters
            .wakes
            .borrow_mut()
            .insert(entry.to_owned(), wake);
        let state = Rc::clone(self);
        let entry = entry.to_owned();
        monoio::spawn(async move { state.report_to(&entry, due).await });
    }

    /// Reports to one entry until it is forgotten.
    async fn report_to(&self, entry: &str, due: Receiver<()>) {
        let mut told = Told::default();
        while !due.is_closed() {
            let pause = self.report_once(entry, &mut told).await;
            let sleep = std::pin::pin!(self.timer.sleep(pause));
            let wake = std::pin::pin!(due.recv());
            select(sleep, wake).await;
        }
    }

    async fn report_once(&self, entry: &str, told: &mut Told) -> Duration {
        let resident = self
            .backend()
            .map(|w| w.dispatcher.resident())
            .unwrap_or_default();
        let changed = told.resident.as_ref() != Some(&resident);
        let report = self.build_report(changed.then(|| resident.clone()));
        let reply = post::<_, ReportReply>(&self.client, entry, PATH, &report, SPAN).await;
        self.entries.record_reply(entry, reply.is_ok());
        let Ok(reply) = reply else {
            told.resident = None;
            return RETRY;
        };
        told.resident = (!reply.whole).then_some(resident);
        self.config.observe_revision(reply.revision);
        let ms = if reply.whole { 0 } else { reply.next_ms };
        let pace = ms.clamp(*PACE.start(), *PACE.end());
        self.spread(entry, pace)
    }

    /// Time until the next report at a pace: half to three halves of it, so that reports to different
    /// entries come at different times. Their replies tell of a new configuration, and sent all
    /// at once they would tell of it once in the whole pace.
    fn spread(&self, entry: &str, pace: u64) -> Duration {
        let seed = xxh3_64(self.vm().as_str().as_bytes());
        let phase = xxh3_64_with_seed(entry.as_bytes(), seed) % pace;
        let earliest = self.timer.now().0 + pace / 2;
        let rest = (phase + pace - earliest % pace) % pace;
        Duration::from_millis(pace / 2 + rest)
    }

    fn build_report(&self, resident: Option<Vec<String>>) -> Report {
        let common = &self.settings.common;
        let work = self.backend();
        let dispatcher = work.as_ref().map(|w| &w.dispatcher);
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

    /// Time since this side started.
    pub(crate) fn uptime(&self) -> Millis {
        self.timer.now()
    }
}
