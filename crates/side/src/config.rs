//! The configuration as fetched from entries. A side does not read the configuration log itself.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_config::Fold;
use pumicecleat_config::model::{Config, Pool};
use pumicecleat_net::post;
use pumicecleat_ops::{events, field};
use pumicecleat_types::{ConfigCall, ConfigReply, LogRecord, Lora, Millis, PoolId};

use crate::state::{CONFIG_CONDITION, State};

const CONFIG_PATH: &str = "/peer/v1/config";
const CONFIG_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between refreshes if no report's reply announces a newer revision.
const REFRESH_INTERVAL: Duration = Duration::from_secs(9);
/// Shortest interval between refreshes triggered by replies to reports, so that with many changes a
/// second one refresh fetches several of them.
const MIN_REFRESH_INTERVAL: Millis = Millis(3_000);
/// Interval between refreshes until a configuration is in force.
const INITIAL_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration in force at this side.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    fold: RefCell<Option<Fold>>,
    /// Newest revision that an entry announced.
    announced: Cell<u64>,
    /// Triggers a refresh.
    refresh_signal: RefreshSignal,
    /// When the last refresh started.
    last_refresh: Cell<Millis>,
}

/// Wakes the task that follows the configuration.
#[derive(Debug)]
struct RefreshSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for RefreshSignal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Configuration {
    /// Revision in force, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.fold.borrow().as_ref().map_or(0, Fold::revision)
    }

    /// Records a revision that an entry announced, and triggers a refresh if it is newer.
    pub(crate) fn observe_revision(&self, revision: u64) {
        self.announced.set(self.announced.get().max(revision));
        if self.is_stale() {
            // If the channel is full, a refresh is triggered already.
            let _ = self.refresh_signal.sender.try_send(());
        }
    }

    /// Whether an entry announced a newer revision than the one in force.
    pub(crate) fn is_stale(&self) -> bool {
        self.announced.get() > self.revision()
    }

    /// Applies `read` to the configuration in force, if there is one.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&Config) -> Option<T>) -> Option<T> {
        let fold = self.fold.borrow();
        fold.as_ref().and_then(|f| read(f.config()))
    }

    /// Declaration of a pool.
    pub(crate) fn pool(&self, pool: &PoolId) -> Option<Pool> {
        self.with(|c| c.pools.get(pool).cloned())
    }

    /// Weights path of an adapter version.
    pub(crate) fn weights_path(&self, lora: &Lora) -> Option<String> {
        self.with(|c| {
            let adapter = c.adapters.get(&lora.adapter)?;
            if adapter.base != lora.base {
                return None;
            }
            let version = adapter.versions.get(&lora.version)?;
            Some(version.path.clone())
        })
    }

    /// Log offset of the next record needed, or `None` if a snapshot is needed.
    fn next_offset(&self) -> Option<u64> {
        self.fold.borrow().as_ref().map(Fold::next)
    }

    /// Applies a reply. Returns `false` if there is a gap before its records, so that a snapshot is
    /// needed.
    fn apply_reply(&self, reply: &ConfigReply) -> Result<bool, String> {
        match reply {
            ConfigReply::NotReady => Ok(true),
            ConfigReply::Snapshot(bytes) => self.adopt_snapshot(bytes),
            ConfigReply::Records(records) => Ok(self.apply_records(records)),
        }
    }

    fn adopt_snapshot(&self, bytes: &[u8]) -> Result<bool, String> {
        let mut slot = self.fold.borrow_mut();
        if let Some(fold) = slot.as_mut() {
            fold.adopt_snapshot(bytes).map_err(|e| e.to_string())?;
        } else {
            let fold = Fold::from_snapshot(bytes).map_err(|e| e.to_string())?;
            *slot = Some(fold);
        }
        Ok(true)
    }

    fn apply_records(&self, records: &[LogRecord]) -> bool {
        let mut slot = self.fold.borrow_mut();
        let Some(fold) = slot.as_mut() else {
            return records.is_empty();
        };
        records.iter().all(|r| fold.apply(r).is_ok())
    }
}

impl State {
    /// Keeps the configuration up to date; never returns.
    pub(crate) async fn follow_config(self: Rc<Self>) {
        loop {
            self.refresh_config().await;
            let interval = if self.config.revision() == 0 {
                INITIAL_REFRESH_INTERVAL
            } else {
                REFRESH_INTERVAL
            };
            let _ = self
                .timer
                .within(interval, self.config.refresh_signal.receiver.recv())
                .await;
            self.wait_min_interval().await;
        }
    }

    /// Waits for the minimum interval since the last refresh, unless there is no configuration yet.
    async fn wait_min_interval(&self) {
        if self.config.revision() > 0 {
            let due = self.config.last_refresh.get() + MIN_REFRESH_INTERVAL;
            self.timer.sleep_until(due).await;
        }
    }

    /// Asks entries in turn until one has answered and the newest announced revision is in force.
    pub(crate) async fn refresh_config(&self) {
        self.config.last_refresh.set(self.timer.now());
        for entry in self.entries.rotated() {
            if self.request_config(&entry).await && !self.config.is_stale() {
                return;
            }
        }
    }

    async fn request_config(&self, entry: &str) -> bool {
        let ask = ConfigCall {
            from: self.config.next_offset(),
        };
        let before = self.config.revision();
        let reply =
            post::<_, ConfigReply>(&self.client, entry, CONFIG_PATH, &ask, CONFIG_TIMEOUT).await;
        self.entries.record_reply(entry, reply.is_ok());
        let Ok(reply) = reply else {
            return false;
        };
        let applied = self.apply_config_reply(entry, &reply);
        if !applied && ask.from.is_some() {
            return self.request_snapshot(entry, before).await;
        }
        self.handle_revision_change(before, entry);
        applied && !matches!(reply, ConfigReply::NotReady)
    }

    async fn request_snapshot(&self, entry: &str, before: u64) -> bool {
        let ask = ConfigCall { from: None };
        let reply =
            post::<_, ConfigReply>(&self.client, entry, CONFIG_PATH, &ask, CONFIG_TIMEOUT).await;
        let applied = reply.is_ok_and(|r| self.apply_config_reply(entry, &r));
        self.handle_revision_change(before, entry);
        applied
    }

    fn apply_config_reply(&self, entry: &str, reply: &ConfigReply) -> bool {
        match self.config.apply_reply(reply) {
            Ok(applied) => applied,
            Err(error) => {
                let fields = [field("peer", entry), field("error", &error)];
                self.log.emit(&events::PEER_BAD, &fields);
                true
            }
        }
    }

    fn handle_revision_change(&self, before: u64, source: &str) {
        let revision = self.config.revision();
        if revision == before {
            return;
        }
        let offset = self.config.next_offset().unwrap_or(0);
        let fields = [
            field("revision", revision),
            field("offset", offset),
            field("source", source),
        ];
        self.log.emit(&events::CONFIG_IN_FORCE, &fields);
        self.metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        match self.config.pool(self.pool()) {
            Some(_) => self.readiness.set_met(CONFIG_CONDITION),
            None => self
                .readiness
                .set_unmet(CONFIG_CONDITION, "it does not declare this side's pool"),
        }
        self.apply_options();
    }
}
