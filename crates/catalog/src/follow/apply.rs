//! Applies what a follower reads to the catalog.

use pumicecleat_infra::{KeyedEvent, KeyedRecord};
use pumicecleat_ops::{events, field};
use pumicecleat_types::{Millis, Position};

use super::TopicFollower;
use super::outage::Outage;
use crate::report::report_applied;
use crate::{Applied, Change, Topic};

impl TopicFollower<'_> {
    /// Applies an event. Returns whether it changed the catalog.
    pub(super) fn apply_event(&self, event: KeyedEvent) -> bool {
        let now = self.timer.now();
        match event {
            KeyedEvent::State(records) => {
                self.end_outage(now);
                self.apply_state(&records, now)
            }
            KeyedEvent::Changes(records) => {
                self.end_outage(now);
                let changed = self.apply_all(&records, now);
                self.expire(now);
                changed
            }
            KeyedEvent::CaughtUp => {
                self.end_outage(now);
                false
            }
            KeyedEvent::Era { before, now: era } => {
                self.handle_store_renewal(before, era);
                false
            }
            KeyedEvent::Unanswered => {
                let fields = [field("stream", self.decoder.stream(self.topic))];
                self.log.emit(&events::READ_UNANSWERED, &fields);
                self.marks.suspect_connection(self.topic);
                false
            }
            KeyedEvent::StateMissing { waited } => {
                let fields = [
                    field("stream", self.decoder.stream(self.topic)),
                    field("waited_ms", waited.0),
                ];
                self.log.emit(&events::STATE_MISSING, &fields);
                false
            }
            KeyedEvent::Outage { detail } => {
                let fields = [
                    field("stream", self.decoder.stream(self.topic)),
                    field("error", detail.as_str()),
                ];
                self.log.emit(&events::STORE_LOST, &fields);
                if self.down_since.get().is_none() {
                    self.down_since.set(Some(now));
                }
                self.marks.suspect_connection(self.topic);
                false
            }
        }
    }

    /// Handles a log restored from an older copy. Upstreams missing from the copy are kept until they have
    /// written their entries again or had enough time to do so.
    fn handle_store_renewal(&self, before: Position, era: u64) {
        let fields = [
            field("stream", self.decoder.stream(self.topic)),
            field("era_before", before.era),
            field("offset_before", before.offset),
            field("era", era),
        ];
        self.log.emit(&events::STORE_RENEWED, &fields);
        let start = self.marks.era_start(era, self.timer.now());
        self.catalog.borrow_mut().note_store_renewal(start);
        self.listener.on_store_renewed();
    }

    /// Removes upstreams that the records just read prove to be gone, before any request is sent to them.
    pub(super) fn expire(&self, now: Millis) {
        let removed = self.catalog.borrow_mut().expire(now);
        for applied in &removed {
            self.report(applied);
        }
    }

    fn end_outage(&self, now: Millis) {
        if let Some(start) = self.down_since.take() {
            let fields = [
                field("stream", self.decoder.stream(self.topic)),
                field("down_ms", now.since(start).0),
            ];
            self.log.emit(&events::STORE_BACK, &fields);
            self.last_outage.set(Some(Outage { start, end: now }));
            if self.topic == Topic::Upstreams {
                self.marks.note_recovery(now);
            }
        }
        if let (Topic::Upstreams, Some(outage)) = (self.topic, self.last_outage.get()) {
            let recovery = outage.list_recovery(self.marks, now);
            self.catalog.borrow_mut().note_list_recovery(recovery);
        }
    }

    /// Applies the complete state of the stream.
    fn apply_state(&self, records: &[KeyedRecord], now: Millis) -> bool {
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
            match self.decode(record) {
                Some(Change::Upstream(upstream)) => list.push(upstream),
                Some(unusable @ Change::Unusable { .. }) => {
                    changed |= self.apply_change(unusable, now);
                }
                _ => {}
            }
        }
        let applied = self.catalog.borrow_mut().replace(list, now);
        for applied in &applied {
            changed |= self.report(applied);
        }
        changed
    }

    pub(super) fn apply_all(&self, records: &[KeyedRecord], now: Millis) -> bool {
        let mut changed = false;
        for record in records {
            changed |= self.apply(record, now);
        }
        changed
    }

    fn apply(&self, record: &KeyedRecord, now: Millis) -> bool {
        let change = self.decode(record);
        let changed = change.is_some_and(|c| self.apply_change(c, now));
        if changed {
            self.changed.borrow_mut().push(record.clone());
        }
        changed
    }

    fn apply_change(&self, change: Change, now: Millis) -> bool {
        let applied = self.catalog.borrow_mut().apply(change, now);
        self.report(&applied)
    }

    fn decode(&self, record: &KeyedRecord) -> Option<Change> {
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

    fn report(&self, applied: &Applied) -> bool {
        report_applied(applied, self.listener, self.log)
    }
}
