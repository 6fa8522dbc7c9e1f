//! What attempts teach: sends not yet in reports, and ends.

use pumicecleat_types::{LoadFigures, Millis, Reason};

use super::Router;
use super::ask::AttemptOutcome;
use super::demotion::Demotion;
use super::upstream::{Hold, Upstream};
use crate::{LoraIx, UpstreamIx};

impl Router {
    /// Counts an attempt sent to `up`.
    pub fn record_send(&mut self, up: UpstreamIx, lora: Option<LoraIx>, now: Millis) {
        if !self.reported(up) {
            return;
        }
        let upstream = &mut self.upstreams[up.0 as usize];
        upstream.note_send(now);
        upstream.demotion.sent(now);
        let Some(lora) = lora else {
            return;
        };
        if upstream.hold(lora) == Hold::Absent {
            self.change(up, |u| u.note_coming(lora, now));
        }
    }

    /// Takes in load figures that came with an answer or a refusal.
    pub fn update_load(&mut self, up: UpstreamIx, load: LoadFigures, now: Millis) {
        let lag = self.options.report_lag;
        if self.reported(up) {
            let upstream = &mut self.upstreams[up.0 as usize];
            upstream.load = load;
            upstream.settle(now, lag);
            self.alive(up, now);
        }
    }

    /// Learns that an answer of `up` has begun.
    pub fn record_answer_start(&mut self, up: UpstreamIx, now: Millis) {
        if self.reported(up) {
            self.upstreams[up.0 as usize].demotion = Demotion::default();
            self.alive(up, now);
        }
    }

    /// Learns from the end of an attempt at `up`.
    pub fn record_outcome(
        &mut self,
        up: UpstreamIx,
        lora: Option<LoraIx>,
        outcome: AttemptOutcome,
        now: Millis,
    ) {
        if !self.reported(up) {
            if matches!(outcome, AttemptOutcome::Refused(Reason::Leaving, _)) {
                self.mark_leaving(up);
            }
            return;
        }
        self.upstreams[up.0 as usize].note_end();
        match outcome {
            AttemptOutcome::Completed => self.record_answer_start(up, now),
            AttemptOutcome::Refused(reason, load) => {
                self.alive(up, now);
                self.refused(up, lora, reason, load, now);
            }
            AttemptOutcome::Stalled => self.stall(up, now),
            AttemptOutcome::Failed => self.change(up, |u| u.suspect = true),
        }
    }

    fn reported(&self, up: UpstreamIx) -> bool {
        let upstream = self.upstreams.get(up.0 as usize);
        upstream.is_some_and(|u| u.seen.is_some())
    }

    /// Notes a sign of life.
    fn alive(&mut self, up: UpstreamIx, now: Millis) {
        let upstream = &mut self.upstreams[up.0 as usize];
        upstream.seen = Some(now);
        if upstream.suspect {
            self.change(up, |u| u.suspect = false);
        }
    }

    fn stall(&mut self, up: UpstreamIx, now: Millis) {
        let options = &self.options;
        self.upstreams[up.0 as usize].demotion.stall(now, options);
    }

    fn refused(
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
        let service = self.options.service_time;
        match reason {
            Reason::Leaving => self.mark_leaving(up),
            Reason::UpstreamDown | Reason::WrongPool => self.change(up, |u| u.suspect = true),
            Reason::LoadFailed => self.change(up, |u| drop_coming(u, lora)),
            Reason::Overloaded if load.is_none() => {
                raise_wait(&mut self.upstreams[up.0 as usize], service);
            }
            _ => {}
        }
    }
}

fn drop_coming(upstream: &mut Upstream, lora: Option<LoraIx>) {
    upstream.coming.retain(|a| Some(a.lora) != lora);
}

/// An overload without figures: assume a queue of one request's time until the next report.
fn raise_wait(upstream: &mut Upstream, service: Millis) {
    let wait = u32::try_from(service.0).unwrap_or(u32::MAX);
    upstream.load.wait_ms = upstream.load.wait_ms.max(wait);
}
