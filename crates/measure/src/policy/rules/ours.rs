//! The product's decisions behind the replay's interfaces.

use pumicecleat_policy::{
    Action, AttemptOutcome, Job, JobId, JobRefusal, LoadOutcome, LoraIx, PoolIx, RouteDecision,
    RouteQuery, Router, RouterOptions, Scheduler, UpstreamIx, UpstreamStatus,
};
use pumicecleat_types::{LoadTurn, Millis, Reason};

use super::{Choose, Question, Side, View};
use crate::policy::prefix::PrefixMode;
use crate::policy::shape::{LOAD, Shape};

const POOL: PoolIx = PoolIx(0);

impl Side for Scheduler {
    fn submit(&mut self, job: Job, now: Millis) -> Result<(), JobRefusal> {
        self.submit(job, now)
    }

    fn poll(&mut self, now: Millis) -> Vec<Action> {
        self.poll(now)
    }

    fn next_wake(&self, now: Millis) -> Option<Millis> {
        self.next_wake(now)
    }

    fn finished(&mut self, id: JobId, whole: bool, now: Millis) {
        self.finished(id, whole, now);
    }

    fn cancel(&mut self, id: JobId) {
        self.cancel(id);
    }

    fn turn(&mut self, turn: LoadTurn, now: Millis) {
        self.bid_answered(turn, now);
    }

    fn no_turn(&mut self, roll: u64, now: Millis) {
        self.bid_unanswered(roll, now);
    }

    fn loaded(&mut self, lora: LoraIx, end: LoadOutcome, now: Millis) {
        self.loaded(lora, end, now);
    }

    fn unloaded(&mut self, lora: LoraIx, now: Millis) {
        self.unloaded(lora, true, now);
    }

    fn close(&mut self, reason: Reason) {
        self.close(reason);
    }

    fn reopen(&mut self, now: Millis) {
        self.reset(&[], &[], now);
        self.reopen();
    }

    fn view(&self) -> View {
        View {
            load: self.figures(),
            resident: self.resident(),
            loading: self.loading(),
        }
    }
}

/// The router.
pub(super) struct Routed(Router);

impl Routed {
    pub(super) fn new(shape: &Shape, entry: u32) -> Self {
        let meets = shape.prefix == Some(PrefixMode::Meeting);
        let usual = RouterOptions::default();
        let options = RouterOptions {
            seed: u64::from(entry),
            load_time: LOAD,
            affinity_tokens: shape.first.or(usual.affinity_tokens).filter(|_| meets),
            ..usual
        };
        let mut router = Router::new_ext(options);
        router.set_weights(shape.weights);
        Self(router)
    }
}

impl Choose for Routed {
    fn report(&mut self, up: UpstreamIx, state: &UpstreamStatus, view: &View, now: Millis) {
        let resident = Some(view.resident.as_slice());
        self.0.report(up, POOL, state, resident, view.loading, now);
    }

    fn choose(&mut self, question: &Question<'_>, now: Millis) -> Result<UpstreamIx, Millis> {
        let ask = RouteQuery {
            pool: POOL,
            lora: Some(question.lora),
            prompt: question.prompt,
            time_left: question.left,
            tried: question.tried,
        };
        match self.0.choose(&ask, now) {
            RouteDecision::Send(pick) => Ok(pick.up),
            RouteDecision::Refuse { retry_after: retry } => Err(retry),
        }
    }

    fn sent(&mut self, up: UpstreamIx, lora: LoraIx, now: Millis) {
        self.0.record_send(up, Some(lora), now);
    }

    fn ended(&mut self, up: UpstreamIx, lora: LoraIx, outcome: AttemptOutcome, now: Millis) {
        self.0.record_outcome(up, Some(lora), outcome, now);
    }
}
