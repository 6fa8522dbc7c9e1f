//! Requests that may crash upstreams: observations of this gateway, and reports of others.
//!
//! - `lost_connections` holds the requests whose connection to an upstream was lost; `watch` determines
//!   whether the upstream has ended.
//! - `news` exchanges suspects with other processes by way of the agents.
//! - `persist` stores suspects across restarts of all processes.
//! - `trial` asks an agent for permission to send a suspect once more.

mod denials;
mod departures;
mod lost_connections;
mod news;
mod persist;
mod trial;
mod watch;

use std::cell::RefCell;
use std::rc::Rc;

use pumicecleat_catalog::Upstream;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{SuspectSync, SuspectTable, TRIAL_MIN_ENDS, Trials, end_key};
use pumicecleat_types::{Fingerprint, Millis};

use crate::shared::Shared;
use denials::Denials;
use departures::Departures;
use lost_connections::{LostConnections, LostRequest};
pub(crate) use news::{apply_reply, outgoing_news};
use persist::PersistQueue;
pub(crate) use persist::persist_suspects;
pub(crate) use trial::{ask_trial, release_trial};

/// Suspects known to a gateway, and their trials.
pub(crate) struct SuspectState {
    pub(crate) table: RefCell<SuspectTable>,
    sync: RefCell<SuspectSync>,
    lost_connections: RefCell<LostConnections>,
    departures: RefCell<Departures>,
    persist_queue: PersistQueue,
    denials: RefCell<Denials>,
    /// Trials granted by this gateway itself, if there is no agent to ask.
    trials: RefCell<Trials>,
}

impl SuspectState {
    /// Creates an empty state; `start` identifies this start of the process.
    pub(crate) fn new(start: u64) -> Self {
        Self {
            table: RefCell::new(SuspectTable::new(start)),
            sync: RefCell::default(),
            lost_connections: RefCell::default(),
            departures: RefCell::default(),
            persist_queue: PersistQueue::new(),
            denials: RefCell::default(),
            trials: RefCell::default(),
        }
    }

    /// Stores all suspects of this gateway again, because the log may have lost them.
    pub(crate) fn persist_again(&self) {
        self.persist_queue.requeue_stored();
    }

    /// Records that an upstream leaves by its own announcement (`announced`), or was removed from the list.
    pub(crate) fn note_leaving(&self, instance: &str, announced: bool, now: Millis) {
        self.departures
            .borrow_mut()
            .record(instance, announced, now);
    }

    fn is_end_planned(&self, instance: &str, now: Millis) -> bool {
        self.departures.borrow().is_planned(instance, now)
    }

    /// Number of upstreams that a request may have ended.
    pub(crate) fn end_count(&self, fingerprint: &Fingerprint, now: Millis) -> usize {
        self.table.borrow().end_count(fingerprint, now)
    }
}

/// Records that the request lost its connection to `upstream`; `alone` if no other suspect was in progress
/// there.
pub(crate) fn record_lost_connection(
    shared: &Rc<Shared>,
    fingerprint: Fingerprint,
    alone: bool,
    upstream: &Upstream,
) {
    let now = shared.timer.now();
    let lost = LostRequest {
        lost_at: now,
        alone,
    };
    let key = end_key(&upstream.instance, upstream.born);
    let is_ended = shared
        .suspects
        .lost_connections
        .borrow_mut()
        .add(key, fingerprint, lost);
    match is_ended {
        Some(true) => record_ends(shared, upstream, &[(fingerprint, alone)]),
        Some(false) => {}
        // A leaving upstream may close connections with requests in progress when it ends.
        None if shared.suspects.is_end_planned(&upstream.instance, now) => {}
        None => {
            let mut lost_connections = shared.suspects.lost_connections.borrow_mut();
            lost_connections.add_first(key, fingerprint, lost);
            monoio::spawn(watch::watch_upstream(Rc::clone(shared), upstream.clone()));
        }
    }
}

/// Records that `upstream` ended while `requests` were in progress there.
fn record_ends(shared: &Shared, upstream: &Upstream, requests: &[(Fingerprint, bool)]) {
    let now = shared.timer.now();
    let key = end_key(&upstream.instance, upstream.born);
    for (fingerprint, alone) in requests {
        let is_new = shared
            .suspects
            .table
            .borrow_mut()
            .record_end(*fingerprint, key, *alone, now);
        if is_new {
            log_suspected(shared, fingerprint, &upstream.instance);
            if shared.suspects.end_count(fingerprint, now) >= TRIAL_MIN_ENDS {
                shared.suspects.persist_queue.push(*fingerprint);
            }
        }
    }
}

/// Logs a request if it needs a trial from now on.
fn log_suspected(shared: &Shared, fingerprint: &Fingerprint, source: &str) {
    let ends = shared.suspects.end_count(fingerprint, shared.timer.now());
    if ends < TRIAL_MIN_ENDS {
        return;
    }
    shared.meters.count_suspect("suspected");
    let text = fingerprint.to_string();
    let fields = [
        field("fingerprint", text.as_str()),
        field("ends", ends),
        field("source", source),
    ];
    shared.log.emit(&events::REQUEST_SUSPECTED, &fields);
}

/// Records that an upstream served the request.
pub(crate) fn record_served(shared: &Shared, fingerprint: &Fingerprint) {
    let ends = shared
        .suspects
        .table
        .borrow_mut()
        .record_served(fingerprint);
    if ends < TRIAL_MIN_ENDS {
        return;
    }
    shared.suspects.persist_queue.push(*fingerprint);
    shared.meters.count_suspect("cleared");
    let text = fingerprint.to_string();
    let fields = [field("fingerprint", text.as_str()), field("ends", ends)];
    shared.log.emit(&events::REQUEST_CLEARED, &fields);
}
