//! Keeps a catalog up to date, by one follower a topic.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use pumicecleat_infra::{
    BackoffOptions, FollowOptions, KeyedEvent, KeyedFollower, KeyedLog, KeyedRecord, as_millis,
};
use pumicecleat_net::Timer;
use pumicecleat_ops::{Log, events, field};
use pumicecleat_types::{Millis, Position};

use crate::read_schedule::{believed, staggered_wait};
use crate::report::tell;
use crate::{Applied, Catalog, Change, Marks, RecordDecoder, Topic, UnreadableKeys};

/// Catalog that the parts of a process share.
pub type SharedCatalog = Rc<RefCell<Catalog>>;

/// What is told of each change that took effect.
pub trait CatalogListener {
    /// `applied` took effect.
    fn on_applied(&self, applied: &Applied);

    /// The log has come back from an older copy: what this process wrote there may be lost.
    fn on_store_renewed(&self) {}

    /// Called periodically with the age of the list of upstreams known to this process.
    fn report_list_age(&self, _: Millis) {}

    /// Processes that follow the same, as far as is known.
    fn follower_count(&self) -> u32 {
        1
    }
}

/// How a catalog is followed.
#[derive(Clone)]
pub struct FollowSettings {
    /// Time that the log may wait for a record. Half of the time in which a silent connection
    /// has to be noticed.
    pub wait: Duration,
    /// Intended time until a new record is known if the reads in progress of all processes stay unanswered.
    /// Shortens `wait` according to the number of processes; `None` to always use `wait`.
    pub detection_span: Option<Duration>,
    /// Time beyond `wait` after which an unanswered read is retried; `None` for the timeout of the log's
    /// client.
    pub answer_timeout: Option<Duration>,
    /// Least time between two reads that give records.
    pub pace: Duration,
    /// Age up to which the list of upstreams may be believed, whoever read it.
    pub max_list_age: Duration,
    /// Least time between two reads that another process's word brings on, for each process that hears
    /// it: so many read at the same pace as few.
    pub hint_interval: Duration,
    /// Longest such time, however many there are.
    pub max_hint_interval: Duration,
    /// Longest pause between two attempts while the log does not answer.
    pub max_backoff: Duration,
    /// Seed of the pauses; processes should differ in it.
    pub seed: u64,
}

struct Following<'a> {
    marks: &'a Marks,
    catalog: &'a SharedCatalog,
    topic: Topic,
    decoder: &'a dyn RecordDecoder,
    listener: &'a dyn CatalogListener,
    timer: &'a Timer,
    log: &'a Log,
    /// Start of the present outage.
    down: Cell<Option<Millis>>,
    /// Last outage that ended.
    outage: Cell<Option<Outage>>,
    /// The last read gave records, and the next would soon give more of them.
    busy: Cell<bool>,
    /// Reads so far.
    reads: Cell<u64>,
    unreadable: RefCell<UnreadableKeys>,
}

/// Time without an answer to this process.
#[derive(Clone, Copy)]
struct Outage {
    down: Millis,
    back: Millis,
}

impl Outage {
    /// When the list answered again: long before this process's return, or all the while, if others read it.
    fn end(self, marks: &Marks, now: Millis) -> Millis {
        let since = marks.answers_since(self.down, now);
        since.map_or(self.back, |since| since.min(self.back))
    }
}

/// What a follower works with.
#[derive(Clone)]
pub struct FollowContext {
    /// Where changes go.
    pub catalog: SharedCatalog,
    /// Log of the deployment.
    pub store: Rc<dyn KeyedLog>,
    /// Form of its records.
    pub decoder: Rc<dyn RecordDecoder>,
    /// Who is told of each change.
    pub listener: Rc<dyn CatalogListener>,
    /// Timer service.
    pub timer: Timer,
    /// Log of this process.
    pub log: Log,
    /// What processes tell each other of the streams.
    pub marks: Rc<Marks>,
}

fn follow_options(settings: &FollowSettings) -> FollowOptions {
    FollowOptions {
        wait: settings.wait,
        answer_timeout: settings.answer_timeout,
        pace: settings.pace,
        backoff: BackoffOptions {
            max: settings.max_backoff,
            seed: settings.seed,
            ..BackoffOptions::default()
        },
        ..FollowOptions::default()
    }
}

/// Follows `topic` for good.
pub async fn follow(topic: Topic, context: FollowContext, settings: FollowSettings) {
    let FollowContext {
        catalog,
        store,
        decoder,
        listener,
        timer,
        log,
        marks,
    } = context;
    let options = follow_options(&settings);
    let stream = decoder.stream(topic);
    let mut follower = KeyedFollower::new_ext(store, &timer, stream, options);
    let following = Following {
        marks: &marks,
        catalog: &catalog,
        topic,
        decoder: &*decoder,
        listener: &*listener,
        timer: &timer,
        log: &log,
        down: Cell::new(None),
        outage: Cell::new(None),
        busy: Cell::new(false),
        reads: Cell::new(0),
        unreadable: RefCell::default(),
    };
    let mut hurried = Millis(0);
    loop {
        let position = follower.position();
        let next = Box::pin(following.next(&mut follower, &settings));
        let event = match select(next, Box::pin(marks.beyond(topic, position))).await {
            Either::Left((event, _)) => Some(event),
            Either::Right(_) => None,
        };
        if let Some(event) = event {
            following.follow(event, &mut follower);
            continue;
        }
        let rest = settings.hint_interval * listener.follower_count();
        let rest = as_millis(rest.min(settings.max_hint_interval));
        timer.sleep_until(hurried + rest).await;
        hurried = timer.now();
        follower.hurry();
        if topic == Topic::Upstreams {
            marks.doubt_list();
        }
        // Not given up for further word: where that never rests, no read would ever end.
        let event = following.next(&mut follower, &settings).await;
        following.follow(event, &mut follower);
    }
}

impl Following<'_> {
    /// Next event. If the last read of the list of upstreams gave changes, the next one starts once the list
    /// is no longer believed and does not wait for records. All other reads may wait for a record.
    async fn next(&self, follower: &mut KeyedFollower, settings: &FollowSettings) -> KeyedEvent {
        let up = follower.position().is_some() && self.down.get().is_none();
        if self.topic == Topic::Upstreams && up && self.busy.get() {
            let followers = self.listener.follower_count();
            let span = believed(settings.max_list_age, settings.seed, followers);
            self.marks.unlisted(span, self.timer).await;
            follower.hurry();
        }
        if let Some(span) = settings.detection_span {
            let followers = self.listener.follower_count();
            let n = self.reads.get();
            self.reads.set(n + 1);
            let wait = staggered_wait(span, settings.seed, n, followers);
            follower.set_wait(wait.min(settings.wait));
        }
        follower.next().await
    }

    /// Takes in an event, and notes how far its read reached.
    fn follow(&self, event: KeyedEvent, follower: &mut KeyedFollower) {
        let lost = matches!(event, KeyedEvent::Outage { .. } | KeyedEvent::Unanswered);
        self.busy.set(matches!(event, KeyedEvent::Changes(_)));
        let changed = self.take(event);
        if follower.has_odd_era() {
            let fields = [field("stream", self.decoder.stream(self.topic))];
            self.log.emit(&events::ERA_UNCLEAR, &fields);
        }
        let (Some(position), Some(asked)) = (follower.position(), follower.asked()) else {
            return;
        };
        if changed {
            self.marks.reached(self.topic, position);
        }
        if self.topic == Topic::Upstreams && !lost && follower.is_at_end() {
            self.marks.listed(position, asked);
        }
    }

    /// Takes an event in; gives whether it changed what is believed.
    fn take(&self, event: KeyedEvent) -> bool {
        let now = self.timer.now();
        match event {
            KeyedEvent::State(records) => {
                self.back(now);
                self.replace(&records, now)
            }
            KeyedEvent::Changes(records) => {
                self.back(now);
                let changed = self.apply_all(&records, now);
                self.expire(now);
                changed
            }
            KeyedEvent::CaughtUp => {
                self.back(now);
                false
            }
            KeyedEvent::Era { before, now: era } => {
                self.renew(before, era);
                false
            }
            KeyedEvent::Unanswered => {
                let fields = [field("stream", self.decoder.stream(self.topic))];
                self.log.emit(&events::READ_UNANSWERED, &fields);
                self.marks.doubt(self.topic);
                false
            }
            KeyedEvent::Outage { detail } => {
                let fields = [
                    field("stream", self.decoder.stream(self.topic)),
                    field("error", detail.as_str()),
                ];
                self.log.emit(&events::STORE_LOST, &fields);
                if self.down.get().is_none() {
                    self.down.set(Some(now));
                }
                self.marks.doubt(self.topic);
                false
            }
        }
    }

    /// The log has come back from an older copy: what is believed beyond it is kept until it has been
    /// written again, or has had the time for that.
    fn renew(&self, before: Position, now: u64) {
        let fields = [
            field("stream", self.decoder.stream(self.topic)),
            field("era_before", before.era),
            field("offset_before", before.offset),
            field("era", now),
        ];
        self.log.emit(&events::STORE_RENEWED, &fields);
        let began = self.marks.era_began(now, self.timer.now());
        self.catalog.borrow_mut().note_store_renewal(began);
        self.listener.on_store_renewed();
    }

    /// Removes what the records just read show to be gone for good, before any request goes there.
    fn expire(&self, now: Millis) {
        let gone = self.catalog.borrow_mut().expire(now);
        for applied in &gone {
            self.tell(applied);
        }
    }

    fn back(&self, now: Millis) {
        if let Some(down) = self.down.take() {
            let fields = [
                field("stream", self.decoder.stream(self.topic)),
                field("down_ms", now.since(down).0),
            ];
            self.log.emit(&events::STORE_BACK, &fields);
            self.outage.set(Some(Outage { down, back: now }));
        }
        if let (Topic::Upstreams, Some(outage)) = (self.topic, self.outage.get()) {
            let end = outage.end(self.marks, now);
            self.catalog.borrow_mut().note_list_recovery(end);
        }
    }

    fn replace(&self, records: &[KeyedRecord], now: Millis) -> bool {
        let fields = [
            field("stream", self.decoder.stream(self.topic)),
            field("records", records.len()),
        ];
        self.log.emit(&events::STORE_READ, &fields);
        if self.topic == Topic::Operators {
            return self.apply_all(records, now);
        }
        let mut list = Vec::new();
        let mut changed = false;
        for record in records {
            match self.read(record) {
                Some(Change::Upstream(upstream)) => list.push(upstream),
                Some(unusable @ Change::Unusable { .. }) => {
                    changed |= self.apply_change(unusable, now);
                }
                _ => {}
            }
        }
        let applied = self.catalog.borrow_mut().replace(list, now);
        for applied in &applied {
            changed |= self.tell(applied);
        }
        changed
    }

    fn apply_all(&self, records: &[KeyedRecord], now: Millis) -> bool {
        let mut changed = false;
        for record in records {
            changed |= self.apply(record, now);
        }
        changed
    }

    fn apply(&self, record: &KeyedRecord, now: Millis) -> bool {
        let change = self.read(record);
        change.is_some_and(|c| self.apply_change(c, now))
    }

    fn apply_change(&self, change: Change, now: Millis) -> bool {
        let applied = self.catalog.borrow_mut().apply(change, now);
        self.tell(&applied)
    }

    fn read(&self, record: &KeyedRecord) -> Option<Change> {
        match self.decoder.decode(self.topic, record) {
            Ok(change) => {
                self.unreadable.borrow_mut().clear(&record.key);
                Some(change)
            }
            Err(e) => {
                self.unreadable.borrow_mut().log_once(&e, self.log);
                let instance = record.key.clone();
                (self.topic == Topic::Upstreams).then_some(Change::Unusable { instance })
            }
        }
    }

    fn tell(&self, applied: &Applied) -> bool {
        tell(applied, self.listener, self.log)
    }
}
