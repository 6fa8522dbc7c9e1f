//! Keeps a catalog up to date, by one follower a topic.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_infra::{
    BackoffOptions, FollowOptions, KeyedEvent, KeyedFollower, KeyedLog, KeyedRecord,
};
use pumicecleat_net::Timer;
use pumicecleat_ops::{Log, events, field};
use pumicecleat_types::Millis;

use crate::{Applied, Catalog, Change, Dialect, Topic};

/// Longest pause between two attempts to reach the log: a store that is back must be heard within
/// the two seconds in which lapsed entries return.
const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// Catalog that the parts of a process share.
pub type Shared = Rc<RefCell<Catalog>>;

/// What is told of each change that took effect.
pub trait Follow {
    /// `applied` took effect.
    fn applied(&self, applied: &Applied);
}

/// How a catalog is followed.
#[derive(Clone)]
pub struct FollowSettings {
    /// Time that the log may wait for a record. Half of the time in which a silent connection
    /// has to be noticed.
    pub wait: Duration,
    /// Least time between two reads that give records.
    pub pace: Duration,
    /// Seed of the pauses; processes should differ in it.
    pub seed: u64,
}

struct Following<'a> {
    catalog: &'a Shared,
    topic: Topic,
    dialect: &'a dyn Dialect,
    listener: &'a dyn Follow,
    timer: &'a Timer,
    log: &'a Log,
    /// Start of the present outage.
    down: Cell<Option<Millis>>,
}

/// What a follower works with.
#[derive(Clone)]
pub struct FollowParts {
    /// Where changes go.
    pub catalog: Shared,
    /// Log of the deployment.
    pub store: Rc<dyn KeyedLog>,
    /// Form of its records.
    pub dialect: Rc<dyn Dialect>,
    /// Who is told of each change.
    pub listener: Rc<dyn Follow>,
    /// Timer service.
    pub timer: Timer,
    /// Log of this process.
    pub log: Log,
}

/// Follows `topic` for good.
pub async fn follow(topic: Topic, parts: FollowParts, settings: FollowSettings) {
    let FollowParts {
        catalog,
        store,
        dialect,
        listener,
        timer,
        log,
    } = parts;
    let options = FollowOptions {
        wait: settings.wait,
        pace: settings.pace,
        backoff: BackoffOptions {
            max: LONGEST_PAUSE,
            seed: settings.seed,
            ..BackoffOptions::default()
        },
        ..FollowOptions::default()
    };
    let stream = dialect.stream(topic);
    let mut follower = KeyedFollower::new_ext(store, &timer, stream, options);
    let following = Following {
        catalog: &catalog,
        topic,
        dialect: &*dialect,
        listener: &*listener,
        timer: &timer,
        log: &log,
        down: Cell::new(None),
    };
    loop {
        following.take(follower.next().await);
    }
}

impl Following<'_> {
    fn take(&self, event: KeyedEvent) {
        match event {
            KeyedEvent::State(records) => {
                self.back();
                self.replace(&records);
            }
            KeyedEvent::Changes(records) => {
                self.back();
                for record in &records {
                    self.apply(record);
                }
            }
            KeyedEvent::CaughtUp => self.back(),
            KeyedEvent::Outage { detail } => {
                let fields = [
                    field("stream", self.dialect.stream(self.topic)),
                    field("error", detail.as_str()),
                ];
                self.log.emit(&events::STORE_LOST, &fields);
                if self.down.get().is_none() {
                    self.down.set(Some(self.timer.now()));
                }
                if self.topic == Topic::Upstreams {
                    self.catalog.borrow_mut().outage();
                }
            }
        }
    }

    fn back(&self) {
        let now = self.timer.now();
        if let Some(since) = self.down.take() {
            let fields = [
                field("stream", self.dialect.stream(self.topic)),
                field("down_ms", now.since(since).0),
            ];
            self.log.emit(&events::STORE_BACK, &fields);
        }
        if self.topic == Topic::Upstreams {
            self.catalog.borrow_mut().back(now);
        }
    }

    fn replace(&self, records: &[KeyedRecord]) {
        let fields = [
            field("stream", self.dialect.stream(self.topic)),
            field("records", records.len()),
        ];
        self.log.emit(&events::STORE_READ, &fields);
        if self.topic == Topic::Operators {
            for record in records {
                self.apply(record);
            }
            return;
        }
        let mut list = Vec::new();
        for record in records {
            if let Some(Change::Upstream(upstream)) = self.read(record) {
                list.push(upstream);
            }
        }
        let now = self.timer.now();
        let applied = self.catalog.borrow_mut().replace(list, now);
        for applied in &applied {
            self.tell(applied);
        }
    }

    fn apply(&self, record: &KeyedRecord) {
        let Some(change) = self.read(record) else {
            return;
        };
        let now = self.timer.now();
        let applied = self.catalog.borrow_mut().apply(change, now);
        self.tell(&applied);
    }

    fn read(&self, record: &KeyedRecord) -> Option<Change> {
        match self.dialect.read(self.topic, record) {
            Ok(change) => Some(change),
            Err(e) => {
                self.log
                    .emit(&events::RECORD_UNREADABLE, &[field("error", &e)]);
                None
            }
        }
    }

    fn tell(&self, applied: &Applied) {
        log_applied(self.log, applied);
        if *applied != Applied::Same {
            self.listener.applied(applied);
        }
    }
}

pub(crate) fn log_applied(log: &Log, applied: &Applied) {
    match applied {
        Applied::Layout { number } => log.emit(&events::LAYOUT_TAKEN, &[field("number", *number)]),
        Applied::Stale { number } => log.emit(&events::LAYOUT_STALE, &[field("number", *number)]),
        Applied::Version { adapter, version } => {
            let fields = [
                field("adapter", adapter.as_str()),
                field("version", *version),
            ];
            log.emit(&events::VERSION_TAKEN, &fields);
        }
        Applied::Upstream { instance, standing } => {
            let standing = format!("{standing:?}").to_lowercase();
            let fields = [
                field("instance", instance.as_str()),
                field("standing", standing.as_str()),
            ];
            log.emit(&events::UPSTREAM_LISTED, &fields);
        }
        Applied::Gone { instance } => {
            log.emit(
                &events::UPSTREAM_GONE,
                &[field("instance", instance.as_str())],
            );
        }
        Applied::Lapsed { instance } => {
            let fields = [field("instance", instance.as_str())];
            log.emit(&events::UPSTREAM_LAPSED, &fields);
        }
        Applied::Same => {}
    }
}
