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

    /// Learns from the end of an attempt at `up`.
    pub fn ended(&mut self, up: UpstreamIx, lora: Option<LoraIx>, outcome: Outcome, now: Millis) {
        if self.upstreams.get(up.0 as usize).is_none() {
            return;
        }
        self.upstreams[up.0 as usize].note_end();
        match outcome {
            Outcome::Whole => self.whole(up, now),
            Outcome::Refused(reason, load) => self.refused(up, lora, reason, load),
            Outcome::Stalled => self.stall(up, now),
            Outcome::Failed => self.change(up, |u| u.suspect = true),
        }
    }

    fn whole(&mut self, up: UpstreamIx, now: Millis) {
        let upstream = &mut self.upstreams[up.0 as usize];
        upstream.stalled = Millis(0);
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
    ) {
        let service = self.options.service;
        let upstream = &mut self.upstreams[up.0 as usize];
        if let Some(load) = load {
            upstream.load = load;
        }
        match reason {
            Reason::Leaving => self.leaving(up),
            Reason::UpstreamDown | Reason::WrongPool => self.change(up, |u| u.usable = false),
            Reason::LoadFailed => self.change(up, |u| drop_coming(u, lora)),
            Reason::Overloaded if load.is_none() => raise_wait(upstream, service),
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
