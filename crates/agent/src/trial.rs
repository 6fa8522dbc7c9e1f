//! Requests under which upstreams end: permission to send one once more, and those that are being tried.
//!
//! Which requests they are is heard from entries and passed on; nothing here decides by it but the
//! permission that entries ask for.

use std::cell::RefCell;
use std::collections::BTreeMap;

use pumicecleat_ops::{events, field};
use pumicecleat_policy::{SuspectSync, SuspectTable, Trials};
use pumicecleat_types::{Millis, SuspectNews, Trial, TrialCall, TrialReply};

use crate::shared::Shared;

/// Path at which entries ask for permission.
pub(crate) const TRIAL_PATH: &str = "/peer/v1/trial";

/// Time after which a trial counts as over though nobody told its end: its entry may have ended.
const TRIAL_SPAN: Millis = Millis(10_000);

/// Requests that share an engine while they are on trial: few enough that one of them is found out at
/// the cost of one engine more.
const SHARED_MOST: usize = 8;

/// What an agent knows of requests under which upstreams end.
pub(crate) struct Watch {
    pub(crate) suspects: RefCell<SuspectTable>,
    /// Relays of other data centres that are called.
    pub(crate) links: RefCell<SuspectSync>,
    trials: RefCell<Trials>,
    /// Requests on trial at the own engine, and since when.
    running: RefCell<BTreeMap<String, (Trial, Millis)>>,
}

impl Watch {
    /// Knows of none; `start` tells this start of the process from others.
    pub(crate) fn new(start: u64) -> Self {
        Self {
            suspects: RefCell::new(SuspectTable::new(start)),
            links: RefCell::default(),
            trials: RefCell::default(),
            running: RefCell::default(),
        }
    }

    /// Takes in what a caller tells, and gives what is new to it.
    pub(crate) fn exchange(&self, told: &SuspectNews, now: Millis) -> SuspectNews {
        let mut suspects = self.suspects.borrow_mut();
        suspects.merge(&told.words, now);
        suspects.news(told.seen, now)
    }

    /// Takes the own engine for the trial of `request`, if those that are on trial there allow it.
    pub(crate) fn begin(&self, request: &str, trial: Trial, now: Millis) -> bool {
        let mut running = self.running.borrow_mut();
        running.retain(|_, (_, since)| now.since(*since) < TRIAL_SPAN);
        let alone = running.values().any(|(trial, _)| *trial == Trial::Alone);
        let free = match trial {
            Trial::Shared => !alone && running.len() < SHARED_MOST,
            Trial::Alone => running.is_empty(),
        };
        if free {
            running.insert(request.to_owned(), (trial, now));
        }
        free
    }

    /// The engine has ended, and all that ran there.
    pub(crate) fn engine_ended(&self) {
        self.running.borrow_mut().clear();
    }

    /// A request has ended.
    pub(crate) fn ended(&self, request: &str) {
        self.running.borrow_mut().remove(request);
    }
}

/// Decides on permission for one send of a request.
pub(crate) fn decide(shared: &Shared, call: &TrialCall) -> TrialReply {
    let now = shared.timer.now();
    let known = shared
        .watch
        .suspects
        .borrow()
        .end_count(&call.fingerprint, now);
    let ends = known.max(call.ends.len());
    let mut trials = shared.watch.trials.borrow_mut();
    if call.unused {
        trials.give_back(&call.fingerprint);
        return TrialReply::default();
    }
    let rest = shared
        .watch
        .suspects
        .borrow()
        .retry_after(&call.fingerprint, now);
    let outcome = match rest {
        Some(rest) => Err(rest),
        None => trials.try_grant(call.fingerprint, ends, now),
    };
    let retry_ms = outcome.err().unwrap_or_default().0;
    let (entry, fingerprint) = (call.entry.to_string(), call.fingerprint.to_string());
    let fields = [
        field("entry", entry.as_str()),
        field("fingerprint", fingerprint.as_str()),
        field("ends", ends),
        field("granted", outcome.is_ok()),
        field("retry_ms", retry_ms),
    ];
    shared.log.emit(&events::TRIAL_DECIDED, &fields);
    TrialReply {
        trial: outcome.ok(),
        retry_ms,
    }
}
