//! State updates from this entry's attempts: sends that no report shows yet, and outcomes.

use pumicecleat_types::{LoadFigures, Millis, Reason};

use super::Router;
use super::demotion::Demotion;
use super::query::AttemptOutcome;
use super::upstream::{Residency, Upstream};
use crate::{LoraIx, UpstreamIx};

impl Router {
    /// Records an attempt sent to `up`.
    pub fn record_send(&mut self, up: UpstreamIx, lora: Option<LoraIx>, now: Millis) {
        if !self.has_report(up) {
            return;
        }
        let upstream = &mut self.upstreams[up.0 as usize];
        upstream.add_unreported_send(now);
        upstream.demotion.record_send(now);
        let Some(lora) = lora else {
            return;
        };
        if upstream.residency(lora) == Residency::Absent {
            self.update_upstream(up, |u| u.add_pending_load(lora, now));
        }
    }

    /// Applies load figures that came with an answer or a refusal.
    pub fn update_load(&mut self, up: UpstreamIx, load: LoadFigures, now: Millis) {
        let lag = self.options.report_lag;
        if self.has_report(up) {
            let upstream = &mut self.upstreams[up.0 as usize];
            upstream.load = load;
            upstream.drop_reported_sends(now, lag);
            self.mark_alive(up, now);
        }
    }

    /// Records that an answer from `up` has begun.
    pub fn record_answer_start(&mut self, up: UpstreamIx, now: Millis) {
        if self.has_report(up) {
            self.upstreams[up.0 as usize].demotion = Demotion::default();
            self.mark_alive(up, now);
        }
    }

    /// Records the outcome of an attempt at `up`.
    pub fn record_outcome(
        &mut self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        outcome: AttemptOutcome,
        now: Millis,
    ) {
        if !self.has_report(up) {
            if matches!(outcome, AttemptOutcome::Refused(Reason::Leaving, _)) {
                self.mark_leaving(up);
            }
            return;
        }
        self.upstreams[up.0 as usize].remove_attempt();
        match outcome {
            AttemptOutcome::Completed => self.record_answer_start(up, now),
            AttemptOutcome::Refused(reason, load) => {
                self.mark_alive(up, now);
                self.apply_refusal(up, lora, reason, load, now);
            }
            AttemptOutcome::Stalled => self.record_stall(up, now),
            AttemptOutcome::Failed => self.update_upstream(up, |u| u.suspect = true),
        }
    }

    fn has_report(&self, up: UpstreamIx) -> bool {
        let upstream = self.upstreams.get(up.0 as usize);
        upstream.is_some_and(|u| u.last_seen.is_some())
    }

    /// Records that the upstream answered, so that it is no longer suspect.
    fn mark_alive(&mut self, up: UpstreamIx, now: Millis) {
        let upstream = &mut self.upstreams[up.0 as usize];
        upstream.last_seen = Some(now);
        if upstream.suspect {
            self.update_upstream(up, |u| u.suspect = false);
        }
    }

    fn record_stall(&mut self, up: UpstreamIx, now: Millis) {
        let options = &self.options;
        self.upstreams[up.0 as usize]
            .demotion
            .record_stall(now, options);
    }

    fn apply_refusal(
        &mut self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        reason: Reason,
        load: Option<LoadFigures>,
        now: Millis,
    ) {
        if let Some(load) = load {
            self.update_load(up, load, now);
        }
        let service_time = self.options.service_time;
        match reason {
            Reason::Leaving => self.mark_leaving(up),
            Reason::UpstreamDown | Reason::WrongPool => {
                self.update_upstream(up, |u| u.suspect = true);
            }
            Reason::LoadFailed => self.update_upstream(up, |u| drop_pending_load(u, lora)),
            Reason::Overloaded if load.is_none() => {
                raise_wait(&mut self.upstreams[up.0 as usize], service_time);
            }
            _ => {}
        }
    }
}

fn drop_pending_load(upstream: &mut Upstream, lora: Option<LoraIx>) {
    upstream.pending_loads.retain(|a| Some(a.lora) != lora);
}

/// Assumes a queue of one request's run time until the next report, for an overload refusal without
/// load figures.
fn raise_wait(upstream: &mut Upstream, service_time: Millis) {
    let wait = u32::try_from(service_time.0).unwrap_or(u32::MAX);
    upstream.load.wait_ms = upstream.load.wait_ms.max(wait);
}
