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
use pumicecleat_policy::{LostAttempt, SuspectSync, SuspectTable, Trials, end_key, min_ends};
use pumicecleat_types::{Millis, SuspectKey};

use crate::shared::Shared;
use denials::Denials;
use departures::Departures;
use lost_connections::LostConnections;
pub(crate) use news::{apply_reply, outgoing_news};
use persist::PersistQueue;
pub(crate) use persist::persist_suspects;
pub(crate) use trial::{TrialRequest, ask_trial, release_trial};

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

    /// Number of upstreams that a suspect may have ended.
    pub(crate) fn end_count(&self, suspect: &SuspectKey, now: Millis) -> usize {
        self.table.borrow().end_count(suspect, now)
    }
}

/// Records that an attempt lost its connection to `upstream`.
pub(crate) fn record_lost_connection(shared: &Rc<Shared>, lost: LostAttempt, upstream: &Upstream) {
    let now = shared.timer.now();
    let key = end_key(&upstream.instance, upstream.born);
    let is_ended = shared
        .suspects
        .lost_connections
        .borrow_mut()
        .add(key, &lost);
    match is_ended {
        Some(true) => record_ends(shared, upstream, &[lost]),
        Some(false) => {}
        // A leaving upstream may close connections with requests in progress when it ends.
        None if shared.suspects.is_end_planned(&upstream.instance, now) => {}
        None => {
            let mut lost_connections = shared.suspects.lost_connections.borrow_mut();
            lost_connections.add_first(key, lost);
            monoio::spawn(watch::watch_upstream(Rc::clone(shared), upstream.clone()));
        }
    }
}

/// Records that `upstream` ended while these attempts were in progress there.
fn record_ends(shared: &Shared, upstream: &Upstream, attempts: &[LostAttempt]) {
    let now = shared.timer.now();
    let key = end_key(&upstream.instance, upstream.born);
    for lost in attempts {
        let changed = shared.suspects.table.borrow_mut().record_lost(lost, key);
        for suspect in changed {
            log_suspected(shared, &suspect, &upstream.instance);
            if shared.suspects.end_count(&suspect, now) >= min_ends(suspect.kind) {
                shared.suspects.persist_queue.push(suspect);
            }
        }
    }
}

/// Logs a suspect if it needs a trial from now on.
fn log_suspected(shared: &Shared, suspect: &SuspectKey, source: &str) {
    let ends = shared.suspects.end_count(suspect, shared.timer.now());
    if ends < min_ends(suspect.kind) {
        return;
    }
    shared.meters.count_suspect("suspected");
    let text = suspect.digest.to_string();
    let fields = [
        field("fingerprint", text.as_str()),
        field("kind", suspect.kind.as_str()),
        field("ends", ends),
        field("source", source),
    ];
    shared.log.emit(&events::REQUEST_SUSPECTED, &fields);
}

/// Records that an upstream served the suspect.
pub(crate) fn record_served(shared: &Shared, suspect: &SuspectKey) {
    let ends = shared.suspects.table.borrow_mut().record_served(suspect);
    if ends > 0 {
        shared.suspects.denials.borrow_mut().forget_parts();
    }
    if ends < min_ends(suspect.kind) {
        return;
    }
    shared.suspects.persist_queue.push(*suspect);
    shared.meters.count_suspect("cleared");
    let text = suspect.digest.to_string();
    let fields = [
        field("fingerprint", text.as_str()),
        field("kind", suspect.kind.as_str()),
        field("ends", ends),
    ];
    shared.log.emit(&events::REQUEST_CLEARED, &fields);
}
