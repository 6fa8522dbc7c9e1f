//! What attempts teach: sends not yet in reports, and ends.

use pumicecleat_types::{LoadFigures, Millis, Reason};

use super::Router;
use super::ask::Outcome;
use super::upstream::{Hold, Upstream};
use crate::{LoraIx, UpstreamIx};

impl Router {
    /// Counts an attempt sent to `up`.
    pub fn sent(&mut self, up: UpstreamIx, lora: Option<LoraIx>, now: Millis) {
        let Some(upstream) = self.upstreams.get_mut(up.0 as usize) else {
            return;
        };
        upstream.note_send(now);
        let Some(lora) = lora else {
            return;
        };
        if upstream.hold(lora) == Hold::Absent {
            self.change(up, |u| u.note_coming(lora, now));
        }
    }

    /// Takes in load figures that came with an answer or a refusal.
    pub fn heard(&mut self, up: UpstreamIx, load: LoadFigures, now: Millis) {
        let lag = self.options.lag;
        let Some(upstream) = self.upstreams.get_mut(up.0 as usize) else {
            return;
        };
        upstream.load = load;
        upstream.settle(now, lag);
        self.alive(up, now);
    }

    /// Learns from the end of an attempt at `up`.
    pub fn ended(&mut self, up: UpstreamIx, lora: Option<LoraIx>, outcome: Outcome, now: Millis) {
        let Some(upstream) = self.upstreams.get_mut(up.0 as usize) else {
            return;
        };
        upstream.note_end();
        match outcome {
            Outcome::Whole => self.whole(up, now),
            Outcome::Refused(reason, load) => {
                self.alive(up, now);
                self.refused(up, lora, reason, load, now);
            }
            Outcome::Stalled => self.stall(up, now),
            Outcome::Failed => self.change(up, |u| u.suspect = true),
        }
    }

    fn whole(&mut self, up: UpstreamIx, now: Millis) {
        self.upstreams[up.0 as usize].stalled = Millis(0);
        self.alive(up, now);
    }

    /// Notes a sign of life.
    fn alive(&mut self, up: UpstreamIx, now: Millis) {
        let upstream = &mut self.upstreams[up.0 as usize];
        if upstream.seen.is_none() {
            return;
        }
        upstream.seen = Some(now);
        if upstream.suspect {
            self.change(up, |u| u.suspect = false);
        }
    }

    fn stall(&mut self, up: UpstreamIx, now: Millis) {
        if let Some(span) = self.options.demote {
            self.upstreams[up.0 as usize].stalled = now + span;
        }
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
            self.heard(up, load, now);
        }
        let service = self.options.service;
        match reason {
            Reason::Leaving => self.leaving(up),
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
