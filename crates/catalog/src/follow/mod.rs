//! Keeps a catalog up to date, with one follower for each topic.

mod apply;
mod outage;
mod settings;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::future::{Either, select};
use pumicecleat_infra::{
    BackoffOptions, FollowOptions, KeyedEvent, KeyedFollower, KeyedLog, KeyedRecord, as_millis,
};
use pumicecleat_net::Timer;
use pumicecleat_ops::{Log, events, field};
use pumicecleat_types::{Millis, Position, StreamChanges};

use crate::marks::Hint;
use crate::read_schedule::{max_read_age, staggered_wait};
use crate::{Applied, Catalog, Confirmations, Marks, RecordDecoder, Topic, UnreadableKeys};
use outage::Outage;
pub use settings::{FollowSettings, FollowSpans};

/// Catalog shared by the components of a process.
pub type SharedCatalog = Rc<RefCell<Catalog>>;

/// Receives the changes to a catalog.
pub trait CatalogListener {
    /// Called for each result that counts as a change, see [`Applied::is_change`].
    fn on_applied(&self, applied: &Applied);

    /// Called when the log was restored from an older copy: records that this process wrote may be lost.
    fn on_store_renewed(&self) {}

    /// Called periodically with the age of the list of upstreams known to this process.
    fn report_list_age(&self, _: Millis) {}

    /// Returns the known number of processes that follow the same streams.
    fn follower_count(&self) -> u32 {
        1
    }
}

struct TopicFollower<'a> {
    marks: &'a Marks,
    confirmations: &'a Confirmations,
    catalog: &'a SharedCatalog,
    topic: Topic,
    decoder: &'a dyn RecordDecoder,
    listener: &'a dyn CatalogListener,
    timer: &'a Timer,
    log: &'a Log,
    /// Start of the current outage.
    down_since: Cell<Option<Millis>>,
    /// Last outage that has ended.
    last_outage: Cell<Option<Outage>>,
    /// Whether the last read returned changes, so that more are expected soon.
    is_busy: Cell<bool>,
    /// Number of reads so far.
    read_count: Cell<u64>,
    /// Position up to which changes were noted for other processes.
    noted_to: Cell<Position>,
    /// Records that changed something since then.
    changed: RefCell<Vec<KeyedRecord>>,
    unreadable: RefCell<UnreadableKeys>,
}

/// Shared state and services used by a follower.
#[derive(Clone)]
pub struct FollowContext {
    /// Catalog that changes are applied to.
    pub catalog: SharedCatalog,
    /// Log of the deployment.
    pub store: Rc<dyn KeyedLog>,
    /// Decoder of its records.
    pub decoder: Rc<dyn RecordDecoder>,
    /// Receiver of changes.
    pub listener: Rc<dyn CatalogListener>,
    /// Timer.
    pub timer: Timer,
    /// Log of this process.
    pub log: Log,
    /// Stream positions exchanged with other processes.
    pub marks: Rc<Marks>,
    /// Confirmations of the configuration.
    pub confirmations: Rc<Confirmations>,
}

fn follow_options(settings: &FollowSettings) -> FollowOptions {
    FollowOptions {
        wait: settings.wait,
        answer_timeout: settings.answer_timeout,
        pace: settings.pace,
        report_idle: true,
        backoff: BackoffOptions {
            max: settings.max_backoff,
            seed: settings.seed,
            ..BackoffOptions::default()
        },
        ..FollowOptions::default()
    }
}

/// Follows `topic`. Never returns.
pub async fn follow(topic: Topic, context: FollowContext, settings: FollowSettings) {
    let FollowContext {
        catalog,
        store,
        decoder,
        listener,
        timer,
        log,
        marks,
        confirmations,
    } = context;
    let options = follow_options(&settings);
    let stream = decoder.stream(topic);
    let mut follower = KeyedFollower::new_ext(store, &timer, stream, options);
    let topic_follower = TopicFollower {
        marks: &marks,
        confirmations: &confirmations,
        catalog: &catalog,
        topic,
        decoder: &*decoder,
        listener: &*listener,
        timer: &timer,
        log: &log,
        down_since: Cell::new(None),
        last_outage: Cell::new(None),
        is_busy: Cell::new(false),
        read_count: Cell::new(0),
        noted_to: Cell::default(),
        changed: RefCell::default(),
        unreadable: RefCell::default(),
    };
    let mut last_hinted_read = Millis(0);
    loop {
        let position = follower.position();
        let next = Box::pin(topic_follower.next(&mut follower, &settings));
        let interruption = Box::pin(marks.wait_for_hint(topic, position));
        let outcome = match select(next, interruption).await {
            Either::Left((event, _)) => Ok(event),
            Either::Right((hint, _)) => Err(hint),
        };
        let hint = match outcome {
            Ok(event) => {
                topic_follower.handle_event(event, &mut follower);
                continue;
            }
            Err(hint) => hint,
        };
        if hint == Hint::Changes && topic_follower.receive_changes(&mut follower).await {
            continue;
        }
        let interval = settings.hint_interval * listener.follower_count();
        let interval = as_millis(interval.min(settings.max_hint_interval));
        timer.sleep_until(last_hinted_read + interval).await;
        last_hinted_read = timer.now();
        follower.read_now();
        marks.distrust(topic);
        // Further messages don't interrupt this read: if they kept arriving, no read would ever end.
        let event = topic_follower.next(&mut follower, &settings).await;
        topic_follower.handle_event(event, &mut follower);
    }
}

impl TopicFollower<'_> {
    /// Returns the next event. While a relay passes on the changes, or if the last read of the list of upstreams
    /// returned changes, the next read starts once the known state is too old and does not wait for records. All
    /// other reads may wait for a record.
    async fn next(&self, follower: &mut KeyedFollower, settings: &FollowSettings) -> KeyedEvent {
        let is_up = self.down_since.get().is_none();
        let is_busy = is_up && self.topic == Topic::Upstreams && self.is_busy.get();
        let is_relayed = settings.relies_on_relay && self.marks.is_relayed(self.timer.now());
        if follower.position().is_some() && (is_busy || is_relayed) {
            let followers = self.listener.follower_count();
            let max_age = max_read_age(settings.max_age, settings.seed, followers);
            self.marks
                .wait_until_stale(self.topic, max_age, self.timer)
                .await;
            follower.read_now();
        }
        if let Some(span) = settings.detection_span {
            let followers = self.listener.follower_count();
            let n = self.read_count.get();
            self.read_count.set(n + 1);
            let wait = staggered_wait(span, settings.seed, n, followers);
            follower.set_wait(wait.min(settings.wait));
        }
        follower.next().await
    }

    /// Applies the changes that a relay passes on. If none have arrived yet, waits for them for a short time. Returns
    /// whether this process then knows all that others know.
    async fn receive_changes(&self, follower: &mut KeyedFollower) -> bool {
        if !self.marks.is_relayed(self.timer.now()) {
            return false;
        }
        if self.apply_received(follower) {
            return true;
        }
        self.marks.wait_for_changes(self.topic, self.timer).await;
        self.apply_received(follower)
    }

    fn apply_received(&self, follower: &mut KeyedFollower) -> bool {
        for changes in self.marks.take_received(self.topic) {
            self.apply_changes(changes, follower);
        }
        !self.marks.is_behind(self.topic)
    }

    fn apply_changes(&self, changes: StreamChanges, follower: &mut KeyedFollower) {
        let Some(position) = follower.position() else {
            return;
        };
        let StreamChanges { from, to, records } = changes;
        if to.era != position.era || from > position || to <= position {
            return;
        }
        let records = records.into_iter().map(|r| KeyedRecord {
            key: r.key,
            value: r.value,
            offset: r.offset,
        });
        let newer = follower.skip_to(to.offset, records.collect());
        let now = self.timer.now();
        if let (Topic::Upstreams, Some(start)) = (self.topic, self.down_since.get()) {
            // The relay reads the list while this process can't.
            let recovery = Outage { start, end: now }.list_recovery(self.marks, now);
            self.catalog.borrow_mut().note_list_recovery(recovery);
        }
        let is_news = self.apply_all(&newer, now);
        if self.topic == Topic::Upstreams {
            self.expire(now);
        }
        self.marks.note_received(self.topic, to);
        self.note_changes(to);
        if is_news {
            self.marks.note_position(self.topic, to);
        }
        if self.topic == Topic::Operators {
            self.confirmations.note_known(to);
        }
    }

    /// Notes the records that changed something up to `position`, so that they can be passed on.
    fn note_changes(&self, position: Position) {
        let from = self.noted_to.replace(position);
        let changed = self.changed.take();
        self.marks
            .note_changes(self.topic, (from, position), &changed);
    }

    /// Handles an event and updates the marks.
    fn handle_event(&self, event: KeyedEvent, follower: &mut KeyedFollower) {
        let failed = matches!(
            event,
            KeyedEvent::Outage { .. } | KeyedEvent::StateMissing { .. } | KeyedEvent::Unanswered
        );
        let is_state = matches!(event, KeyedEvent::State(_));
        self.is_busy.set(matches!(event, KeyedEvent::Changes(_)));
        let changed = self.apply_event(event);
        if follower.has_invalid_era() {
            let fields = [field("stream", self.decoder.stream(self.topic))];
            self.log.emit(&events::ERA_UNCLEAR, &fields);
        }
        if self.topic == Topic::Operators {
            self.confirmations.set_down(failed);
        }
        let (Some(position), Some(read_start)) = (follower.position(), follower.last_read_start())
        else {
            return;
        };
        if is_state {
            self.changed.take();
            self.noted_to.set(position);
            self.marks.note_state(self.topic, position);
        } else if !failed {
            self.note_changes(position);
        }
        if changed {
            self.marks.note_position(self.topic, position);
        }
        if self.topic == Topic::Operators {
            self.confirmations.note_known(position);
        }
        if failed || !follower.is_at_end() {
            return;
        }
        if self.topic == Topic::Operators {
            self.confirmations.note_end(position, read_start.boot);
        }
        self.marks
            .note_own_read(self.topic, position, read_start.at);
    }
}
