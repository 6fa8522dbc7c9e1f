//! Suspects, that is requests that were in progress when upstreams ended: permission to send one again, and the
//! trials in progress at the engine.
//!
//! News of suspects is received from gateways and other agents and passed on. The agent uses it only to decide
//! on permissions.

use std::cell::RefCell;
use std::collections::BTreeMap;

use pumicecleat_ops::{events, field};
use pumicecleat_policy::{SuspectSync, SuspectTable, Trials};
use pumicecleat_types::{Millis, SuspectKey, SuspectNews, Trial, TrialCall, TrialReply};

use crate::shared::Shared;

/// Path at which gateways ask for permission.
pub(crate) const TRIAL_PATH: &str = "/peer/v1/trial";

/// Time after which a trial is considered finished if its end was not reported, as its gateway may have ended.
const TRIAL_TIMEOUT: Millis = Millis(10_000);

/// Maximum number of requests in shared trials at an engine. Small enough that the one that is the cause is
/// identified at the cost of one more engine.
const MAX_SHARED_TRIALS: usize = 8;

/// State of an agent's suspects and trials.
pub(crate) struct SuspectState {
    pub(crate) table: RefCell<SuspectTable>,
    /// Exchange of suspects with the relays of other data centres.
    pub(crate) sync: RefCell<SuspectSync>,
    trials: RefCell<Trials>,
    /// Requests on trial at the agent's engine, and when each trial started.
    active: RefCell<BTreeMap<String, (Trial, Millis)>>,
}

impl SuspectState {
    /// Creates an empty state; `start` identifies this start of the process.
    pub(crate) fn new(start: u64) -> Self {
        Self {
            table: RefCell::new(SuspectTable::new(start)),
            sync: RefCell::default(),
            trials: RefCell::default(),
            active: RefCell::default(),
        }
    }

    /// Applies the news of a caller and returns what is new to it.
    pub(crate) fn exchange_news(&self, received: &SuspectNews, now: Millis) -> SuspectNews {
        let mut table = self.table.borrow_mut();
        table.merge(&received.reports, now);
        table.news(received.seen, now)
    }

    /// Starts a trial of `request` at the agent's engine, unless the trials in progress there prevent it. Returns
    /// whether it was started.
    pub(crate) fn try_start_trial(&self, request: &str, trial: Trial, now: Millis) -> bool {
        let mut active = self.active.borrow_mut();
        active.retain(|_, (_, since)| now.since(*since) < TRIAL_TIMEOUT);
        let exclusive = active.values().any(|(trial, _)| *trial == Trial::Exclusive);
        let free = match trial {
            Trial::Shared => !exclusive && active.len() < MAX_SHARED_TRIALS,
            Trial::Exclusive => active.is_empty(),
        };
        if free {
            active.insert(request.to_owned(), (trial, now));
        }
        free
    }

    /// Removes all trials, because the engine has ended.
    pub(crate) fn end_all_trials(&self) {
        self.active.borrow_mut().clear();
    }

    /// Removes the trial of a request that has ended, if it was on trial.
    pub(crate) fn end_trial(&self, request: &str) {
        self.active.borrow_mut().remove(request);
    }
}

/// Suspects that the request of the call is a trial of. Gateways of earlier versions name only one.
fn tried_keys(call: &TrialCall) -> Vec<SuspectKey> {
    if call.parts.is_empty() {
        return vec![call.key];
    }
    let parts = call.parts.iter().copied();
    parts.map(SuspectKey::prompt_part).collect()
}

/// Decides whether a request may be sent once more.
pub(crate) fn decide_trial(shared: &Shared, call: &TrialCall) -> TrialReply {
    let now = shared.timer.now();
    let known = shared.suspects.table.borrow().end_count(&call.key, now);
    let ends = known.max(call.ends.len());
    let mut trials = shared.suspects.trials.borrow_mut();
    if call.unused {
        trials.give_back(&call.key);
        return TrialReply::default();
    }
    let blocked = shared
        .suspects
        .table
        .borrow()
        .blocking_cause(&tried_keys(call), now);
    let retry_after = blocked.map(|(span, _)| span);
    let outcome = match retry_after {
        Some(retry_after) => Err(retry_after),
        None => trials.try_grant(call.key, ends, now),
    };
    let retry_ms = outcome.err().unwrap_or_default().0;
    let (entry, digest) = (call.entry.to_string(), call.key.digest.to_string());
    let fields = [
        field("entry", entry.as_str()),
        field("fingerprint", digest.as_str()),
        field("kind", call.key.kind.as_str()),
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
