//! The configuration as heard from entries; a side does not read its log.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use pumicecleat_config::Fold;
use pumicecleat_config::model::{Config, Pool};
use pumicecleat_net::post;
use pumicecleat_ops::{events, field};
use pumicecleat_types::{ConfigAsk, ConfigReply, LogRecord, Lora, Millis, PoolId};

use crate::state::{CONFIG_CONDITION, State};

const PATH: &str = "/peer/v1/config";
const SPAN: Duration = Duration::from_secs(3);
/// Time between two looks for a newer revision, where no report told of one.
const PAUSE: Duration = Duration::from_secs(9);
/// Shortest time between two looks that reports led to: at many changes a second, each takes several.
const SPACING: Millis = Millis(3_000);
const START_PAUSE: Duration = Duration::from_millis(100);

/// Configuration in force at this side.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    fold: RefCell<Option<Fold>>,
    /// Newest revision that an entry told of.
    told: Cell<u64>,
    /// Wakes the look for it.
    wake: Wake,
    /// Time of the last look.
    looked: Cell<Millis>,
}

/// Wakes one task.
#[derive(Debug)]
struct Wake {
    sender: Sender<()>,
    due: Receiver<()>,
}

impl Default for Wake {
    fn default() -> Self {
        let (sender, due) = async_channel::bounded(1);
        Self { sender, due }
    }
}

impl Configuration {
    /// Revision in force, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.fold.borrow().as_ref().map_or(0, Fold::revision)
    }

    /// Notes a revision that an entry told of.
    pub(crate) fn observe_revision(&self, revision: u64) {
        self.told.set(self.told.get().max(revision));
        if self.is_stale() {
            // A full channel holds the same message already.
            let _ = self.wake.sender.try_send(());
        }
    }

    /// Whether an entry told of a newer revision than the one in force.
    pub(crate) fn is_stale(&self) -> bool {
        self.told.get() > self.revision()
    }

    /// What `read` takes from the configuration in force, if there is one.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&Config) -> Option<T>) -> Option<T> {
        let fold = self.fold.borrow();
        fold.as_ref().and_then(|f| read(f.config()))
    }

    /// Pool as declared.
    pub(crate) fn pool(&self, pool: &PoolId) -> Option<Pool> {
        self.with(|c| c.pools.get(pool).cloned())
    }

    /// Path of a version's weights.
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

    /// Offset wanted next, or `None` for a snapshot.
    fn next(&self) -> Option<u64> {
        self.fold.borrow().as_ref().map(Fold::next)
    }

    /// Takes a reply in; `false` if the fold has a gap that a snapshot must fill.
    fn take(&self, reply: &ConfigReply) -> Result<bool, String> {
        match reply {
            ConfigReply::NotReady => Ok(true),
            ConfigReply::Snapshot(bytes) => self.adopt(bytes),
            ConfigReply::Records(records) => Ok(self.apply(records)),
        }
    }

    fn adopt(&self, bytes: &[u8]) -> Result<bool, String> {
        let mut held = self.fold.borrow_mut();
        if let Some(fold) = held.as_mut() {
            fold.adopt(bytes).map_err(|e| e.to_string())?;
        } else {
            let fold = Fold::from_snapshot(bytes).map_err(|e| e.to_string())?;
            *held = Some(fold);
        }
        Ok(true)
    }

    fn apply(&self, records: &[LogRecord]) -> bool {
        let mut held = self.fold.borrow_mut();
        let Some(fold) = held.as_mut() else {
            return records.is_empty();
        };
        records.iter().all(|r| fold.apply(r).is_ok())
    }
}

impl State {
    /// Follows the configuration; never ends.
    pub(crate) async fn follow_config(self: Rc<Self>) {
        loop {
            self.refresh_config().await;
            let pause = if self.config.revision() == 0 {
                START_PAUSE
            } else {
                PAUSE
            };
            let _ = self.timer.within(pause, self.config.wake.due.recv()).await;
            self.space_looks().await;
        }
    }

    /// Waits until the last look is far enough back; a side that has no configuration yet doesn't.
    async fn space_looks(&self) {
        if self.config.revision() > 0 {
            let due = self.config.looked.get() + SPACING;
            self.timer.sleep_until(due).await;
        }
    }

    /// Asks entries, one after the other, until one has given what is newest there.
    pub(crate) async fn refresh_config(&self) {
        self.config.looked.set(self.timer.now());
        for entry in self.entries.rotated() {
            if self.ask_config(&entry).await && !self.config.is_stale() {
                return;
            }
        }
    }

    async fn ask_config(&self, entry: &str) -> bool {
        let ask = ConfigAsk {
            from: self.config.next(),
        };
        let before = self.config.revision();
        let reply = post::<_, ConfigReply>(&self.client, entry, PATH, &ask, SPAN).await;
        self.entries.record_reply(entry, reply.is_ok());
        let Ok(reply) = reply else {
            return false;
        };
        let whole = self.take_config(entry, &reply);
        if !whole && ask.from.is_some() {
            return self.ask_snapshot(entry, before).await;
        }
        self.note_revision(before, entry);
        whole && !matches!(reply, ConfigReply::NotReady)
    }

    async fn ask_snapshot(&self, entry: &str, before: u64) -> bool {
        let ask = ConfigAsk { from: None };
        let reply = post::<_, ConfigReply>(&self.client, entry, PATH, &ask, SPAN).await;
        let whole = reply.is_ok_and(|r| self.take_config(entry, &r));
        self.note_revision(before, entry);
        whole
    }

    fn take_config(&self, entry: &str, reply: &ConfigReply) -> bool {
        match self.config.take(reply) {
            Ok(whole) => whole,
            Err(error) => {
                let fields = [field("peer", entry), field("error", &error)];
                self.log.emit(&events::PEER_BAD, &fields);
                true
            }
        }
    }

    fn note_revision(&self, before: u64, source: &str) {
        let revision = self.config.revision();
        if revision == before {
            return;
        }
        let offset = self.config.next().unwrap_or(0);
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
            Some(_) => self.readiness.hold(CONFIG_CONDITION),
            None => self
                .readiness
                .fail(CONFIG_CONDITION, "it does not declare this side's pool"),
        }
        self.apply_options();
    }
}
