//! Progress of one request, and the log lines on it.

mod lines;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::Version;
use pumicecleat_catalog::{Route, Upstream};
use pumicecleat_net::{BodyError, Framing};
use pumicecleat_ops::DrainGuard;
use pumicecleat_policy::{LostAttempt, PROVING_TIME};
use pumicecleat_types::{Fingerprint, Millis, RequestId, ServiceId, SuspectKey, SuspectKind};

use super::chunk_gaps::ChunkGaps;
use super::fingerprint::part_fingerprint;
use crate::RequestAttributes;
use crate::meters::{OutcomeLabels, ServiceLabels};
use crate::shared::Shared;
use crate::stop::StopQuery;
use crate::suspects;

/// Logs the end of a request once. If dropped before, it logs that the caller disconnected.
pub(super) struct RequestTrace {
    pub(super) shared: Rc<Shared>,
    pub(super) request: String,
    /// Name of the route; empty without one.
    route: String,
    /// Latency objective of the route, ms; 0 without one.
    objective_ms: u64,
    /// Longest pause between events that the route declares, ms; 0 if it declares none.
    pause_limit_ms: u64,
    /// Whether the route's responses are streams.
    is_stream: bool,
    /// Name of the client account; empty without one.
    account: RefCell<String>,
    /// IDs of the parts of the prompt that other requests may share, separated by commas.
    prompt_parts: String,
    /// The same parts, as suspects.
    part_keys: Vec<SuspectKey>,
    /// Identifies repeated attempts; `None` until the body was read.
    fingerprint: Cell<Option<Fingerprint>>,
    layout: u64,
    pub(super) arrived: Millis,
    service: RefCell<String>,
    instance: RefCell<String>,
    /// Suspect whose trial the current attempt is, at an upstream where no other suspect is in progress.
    tried_alone: Cell<Option<SuspectKey>>,
    /// Time of the first byte that the current attempt brought.
    answered_at: Cell<Option<Millis>>,
    /// The current attempt has shown that no part of the prompt ends upstreams.
    parts_proven: Cell<bool>,
    /// Upstream of the current attempt.
    upstream: RefCell<Option<Upstream>>,
    /// Attempts, also known to whoever ends the request without its trace.
    attempts: Rc<Cell<u32>>,
    /// Time of the first attempt.
    sent_at: Cell<Option<Millis>>,
    /// Age of the list of upstreams at the start of the latest attempt; 0 if unknown or before any attempt.
    list_age: Cell<Millis>,
    /// Time spent waiting for turns.
    turn_wait: Cell<Millis>,
    first_byte: Cell<Option<Millis>>,
    /// Times between the chunks of the response, over all attempts.
    gaps: ChunkGaps,
    /// Framing of the latest response.
    framing: Cell<Option<Framing>>,
    /// Protocol of the caller.
    version: Cell<Version>,
    outcome_counted: Cell<bool>,
    _drain_guard: DrainGuard,
}

impl RequestTrace {
    pub(super) fn new(
        shared: &Rc<Shared>,
        attributes: &RequestAttributes,
        route: Option<&Route>,
        layout: u64,
        arrived: Millis,
    ) -> Self {
        let request = attributes.request_id.clone().unwrap_or_default();
        let id = RequestId::from(request.as_str());
        Self {
            shared: Rc::clone(shared),
            request,
            route: route.map(|r| r.name.clone()).unwrap_or_default(),
            objective_ms: route.map_or(0, |r| r.objective_ms),
            pause_limit_ms: route.map_or(0, |r| r.pause_ms),
            is_stream: route.is_some_and(|r| r.stream),
            account: RefCell::default(),
            prompt_parts: attributes.shared_parts().join(","),
            part_keys: part_keys(attributes),
            fingerprint: Cell::new(None),
            layout,
            arrived,
            service: RefCell::default(),
            instance: RefCell::default(),
            tried_alone: Cell::default(),
            answered_at: Cell::default(),
            parts_proven: Cell::default(),
            upstream: RefCell::default(),
            attempts: Rc::default(),
            sent_at: Cell::default(),
            list_age: Cell::default(),
            turn_wait: Cell::default(),
            first_byte: Cell::new(None),
            gaps: ChunkGaps::default(),
            framing: Cell::default(),
            version: Cell::default(),
            outcome_counted: Cell::new(false),
            _drain_guard: shared.drain.track(&id),
        }
    }

    /// Records the client account that sent the request.
    pub(super) fn set_account(&self, name: &str) {
        self.account.replace(name.to_owned());
    }

    pub(super) fn set_fingerprint(&self, fingerprint: Fingerprint) {
        self.fingerprint.set(Some(fingerprint));
    }

    pub(super) fn fingerprint(&self) -> Fingerprint {
        self.fingerprint.get().unwrap_or_default()
    }

    /// The request and the parts of its prompt, as suspects.
    pub(super) fn suspect_keys(&self) -> impl Iterator<Item = SuspectKey> {
        let request = SuspectKey::request(self.fingerprint());
        std::iter::once(request).chain(self.part_keys.iter().copied())
    }

    /// IDs of the parts of the prompt that are among `suspects`, separated by commas.
    pub(super) fn part_ids(&self, suspects: &[SuspectKey]) -> String {
        let parts = self.prompt_parts.split(',').zip(&self.part_keys);
        let found = parts.filter(|(_, key)| suspects.contains(key));
        let ids: Vec<&str> = found.map(|(id, _)| id).collect();
        ids.join(",")
    }

    /// Fingerprint as text; empty until the body was read.
    fn fingerprint_text(&self) -> String {
        self.fingerprint
            .get()
            .map(|f| f.to_string())
            .unwrap_or_default()
    }

    pub(super) fn set_service(&self, service: &ServiceId) {
        self.service.replace(service.to_string());
    }

    /// Records that an attempt is sent to `upstream`.
    pub(super) fn start_attempt(&self, upstream: &Upstream) {
        self.attempts.set(self.attempts.get() + 1);
        let now = self.shared.timer.now();
        self.sent_at.set(self.sent_at.get().or(Some(now)));
        self.shared.stop.record_request(&self.service.borrow());
        let age = self.shared.marks.list_age(now);
        self.list_age.set(age.unwrap_or_default());
        self.instance.replace(upstream.instance.clone());
        self.upstream.replace(Some(upstream.clone()));
        self.tried_alone.set(None);
        self.answered_at.set(None);
        self.parts_proven.set(false);
    }

    /// Number of attempts so far, which goes on.
    pub(super) fn attempts(&self) -> Rc<Cell<u32>> {
        Rc::clone(&self.attempts)
    }

    /// Time by which a request must be sent whose response takes `limit` at most, if a stop was requested.
    pub(super) fn latest_send(&self, limit: Millis) -> Option<Millis> {
        self.shared.stop.latest_send(&StopQuery {
            route: &self.route,
            service: &self.service.borrow(),
            is_stream: self.is_stream,
            limit,
            objective: Millis(self.objective_ms),
        })
    }

    /// Records the time of a response that has just ended, or has not come in all the time that it had.
    fn record_response_time(&self) {
        if let Some(sent_at) = self.sent_at.get() {
            let took = self.shared.timer.now().since(sent_at);
            let service = self.service.borrow();
            self.shared
                .stop
                .record_response(&self.route, &service, took);
        }
    }

    /// Records that the current attempt is the trial of `suspect`, at an upstream where no other is in progress.
    pub(super) fn set_tried_alone(&self, suspect: SuspectKey) {
        self.tried_alone.set(Some(suspect));
    }

    /// Records how the response of the current attempt is framed.
    pub(super) fn set_framing(&self, framing: Framing) {
        self.framing.set(Some(framing));
    }

    /// Records the caller's version of HTTP.
    pub(super) fn set_version(&self, version: Version) {
        self.version.set(version);
    }

    /// Records that the connection of the current attempt was lost.
    pub(super) fn record_lost_connection(&self) {
        let (Some(fingerprint), Some(upstream)) =
            (self.fingerprint.get(), &*self.upstream.borrow())
        else {
            return;
        };
        let parts = if self.is_answered_for(PROVING_TIME) {
            &[][..]
        } else {
            &self.part_keys
        };
        let lost = LostAttempt {
            request: SuspectKey::request(fingerprint),
            parts: parts.to_vec(),
            tried_alone: self.tried_alone.get(),
            lost_at: self.shared.timer.now(),
        };
        suspects::record_lost_connection(&self.shared, lost, upstream);
    }

    /// Records that the body of the current attempt broke off.
    pub(super) fn record_broken_body(&self, error: &BodyError) {
        // An upstream that is out of time has not ended.
        if !matches!(error, BodyError::TooSlow { .. }) {
            self.record_lost_connection();
        }
    }

    /// Records that an upstream served the request.
    pub(super) fn record_served(&self) {
        suspects::record_served(&self.shared, &SuspectKey::request(self.fingerprint()));
        self.record_parts_served();
    }

    /// Records that the current attempt has brought a part of the response.
    pub(super) fn record_progress(&self) {
        let now = self.shared.timer.now();
        self.gaps.record_chunk(now);
        if self.answered_at.get().is_none() {
            self.answered_at.set(Some(now));
        } else if self.is_answered_for(PROVING_TIME) {
            self.record_parts_served();
        }
    }

    /// Whether the first byte of the current attempt arrived at least `span` ago.
    fn is_answered_for(&self, span: Millis) -> bool {
        let now = self.shared.timer.now();
        let answered_at = self.answered_at.get();
        answered_at.is_some_and(|at| now.since(at) >= span)
    }

    fn record_parts_served(&self) {
        if self.parts_proven.replace(true) {
            return;
        }
        for part in &self.part_keys {
            suspects::record_served(&self.shared, part);
        }
        let is_part = |suspect: &SuspectKey| suspect.kind == SuspectKind::PromptPart;
        if let Some(suspect) = self.tried_alone.get().filter(is_part) {
            suspects::release_trial(&self.shared, suspect);
        }
    }

    /// Adds the time spent waiting for a turn.
    pub(super) fn add_turn_wait(&self, waited: Millis) {
        self.turn_wait.set(self.turn_wait.get() + waited);
    }

    /// Records that the first byte of the response was forwarded.
    pub(super) fn record_first_byte(&self) {
        if self.first_byte.get().is_some() {
            return;
        }
        let age = self.age();
        self.first_byte.set(Some(age));
        let service = self.service.borrow().clone();
        let labels = ServiceLabels { service };
        let meter = self.shared.meters.first_byte.get_or_create(&labels);
        meter.observe(age.as_secs());
    }

    pub(super) fn age(&self) -> Millis {
        self.shared.timer.now().since(self.arrived)
    }

    fn count_outcome(&self, outcome: &'static str) {
        self.outcome_counted.set(true);
        let service = self.service.borrow().clone();
        if let Some(gap) = self.gaps.longest().filter(|_| self.is_stream) {
            self.shared.meters.observe_pause(&service, gap);
        }
        let labels = OutcomeLabels { service, outcome };
        self.shared.meters.requests.get_or_create(&labels).inc();
    }
}

fn part_keys(attributes: &RequestAttributes) -> Vec<SuspectKey> {
    let parts = attributes.shared_parts();
    let keys = parts.into_iter().map(part_fingerprint);
    keys.map(SuspectKey::prompt_part).collect()
}
