//! Requests that may crash upstreams: observations of this gateway, and reports of others.
//!
//! - `breaks` holds the requests whose connection to an upstream was lost; `watch` determines whether the
//!   upstream has ended.
//! - `news` exchanges suspects with other processes by way of the agents.
//! - `persist` stores suspects across restarts of all processes.
//! - `trial` asks an agent for permission to send a suspect once more.

mod breaks;
mod denials;
mod keep;
mod leavers;
mod news;
mod trial;
mod watch;

use std::cell::RefCell;
use std::rc::Rc;

use pumicecleat_catalog::Upstream;
use pumicecleat_ops::{events, field};
use pumicecleat_policy::{SuspectSync, SuspectTable, TRIAL_MIN_ENDS, Trials, end_key};
use pumicecleat_types::{Fingerprint, Millis};

use crate::shared::Shared;
use breaks::{Breaks, Broken};
use denials::Denials;
use keep::Unkept;
pub(crate) use keep::keep;
use leavers::Leavers;
pub(crate) use news::{hear, tell};
pub(crate) use trial::{ask_trial, give_back};

/// Suspects known to a gateway, and their trials.
pub(crate) struct Guard {
    pub(crate) table: RefCell<SuspectTable>,
    links: RefCell<SuspectSync>,
    breaks: RefCell<Breaks>,
    leavers: RefCell<Leavers>,
    unkept: Unkept,
    denials: RefCell<Denials>,
    /// Trials granted by this gateway itself, if there is no agent to ask.
    trials: RefCell<Trials>,
}

impl Guard {
    /// Creates an empty state; `start` identifies this start of the process.
    pub(crate) fn new(start: u64) -> Self {
        Self {
            table: RefCell::new(SuspectTable::new(start)),
            links: RefCell::default(),
            breaks: RefCell::default(),
            leavers: RefCell::default(),
            unkept: Unkept::new(),
            denials: RefCell::default(),
            trials: RefCell::default(),
        }
    }

    /// Stores all suspects of this gateway again, because the log may have lost them.
    pub(crate) fn keep_again(&self) {
        self.unkept.add_kept();
    }

    /// Records that an upstream leaves by its own announcement (`announced`), or was removed from the list.
    pub(crate) fn note_leaving(&self, instance: &str, said: bool, now: Millis) {
        self.leavers.borrow_mut().note(instance, said, now);
    }

    fn is_leaving(&self, instance: &str, now: Millis) -> bool {
        self.leavers.borrow().is_planned(instance, now)
    }

    /// Number of upstreams that a request may have ended.
    pub(crate) fn ends(&self, fingerprint: &Fingerprint, now: Millis) -> usize {
        self.table.borrow().end_count(fingerprint, now)
    }
}

/// Records that the request lost its connection to `upstream`; `alone` if no other suspect was in progress
/// there.
pub(crate) fn broke(
    shared: &Rc<Shared>,
    fingerprint: Fingerprint,
    alone: bool,
    upstream: &Upstream,
) {
    let now = shared.timer.now();
    let broken = Broken { at: now, alone };
    let key = end_key(&upstream.instance, upstream.born);
    let known = shared
        .guard
        .breaks
        .borrow_mut()
        .join(key, fingerprint, broken);
    match known {
        Some(true) => blame(shared, upstream, &[(fingerprint, alone)]),
        Some(false) => {}
        // A leaving upstream may close connections with requests in progress when it ends.
        None if shared.guard.is_leaving(&upstream.instance, now) => {}
        None => {
            let mut breaks = shared.guard.breaks.borrow_mut();
            breaks.open(key, fingerprint, broken);
            monoio::spawn(watch::watch(Rc::clone(shared), upstream.clone()));
        }
    }
}

/// Records that `upstream` ended while `requests` were in progress there.
fn blame(shared: &Shared, upstream: &Upstream, requests: &[(Fingerprint, bool)]) {
    let now = shared.timer.now();
    let key = end_key(&upstream.instance, upstream.born);
    for (fingerprint, alone) in requests {
        let new = shared
            .guard
            .table
            .borrow_mut()
            .record_end(*fingerprint, key, *alone, now);
        if new {
            tell_suspected(shared, fingerprint, &upstream.instance);
            if shared.guard.ends(fingerprint, now) >= TRIAL_MIN_ENDS {
                shared.guard.unkept.add(*fingerprint);
            }
        }
    }
}

/// Logs a request that needs permission from now on.
fn tell_suspected(shared: &Shared, fingerprint: &Fingerprint, source: &str) {
    let ends = shared.guard.ends(fingerprint, shared.timer.now());
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
pub(crate) fn served(shared: &Shared, fingerprint: &Fingerprint) {
    let ends = shared.guard.table.borrow_mut().record_served(fingerprint);
    if ends < TRIAL_MIN_ENDS {
        return;
    }
    shared.guard.unkept.add(*fingerprint);
    shared.meters.count_suspect("cleared");
    let text = fingerprint.to_string();
    let fields = [field("fingerprint", text.as_str()), field("ends", ends)];
    shared.log.emit(&events::REQUEST_CLEARED, &fields);
}
