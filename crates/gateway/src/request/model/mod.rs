//! Requests to model engines: obtains a turn from the agent, then sends the request directly to the engine.

mod progress;

use std::collections::VecDeque;
use std::time::Duration;

use pumicecleat_catalog::{RetryMode, Upstream};
use pumicecleat_net::{Reply, Response};
use pumicecleat_policy::{AdapterState, Admission, TurnSearch};
use pumicecleat_types::{Millis, SoftwareVersion, Turn, TurnAsk, TurnRefusal};

use super::binding::Binding;
use super::choose::{adapter_version, choose_engine};
use super::forward::forward;
use super::job::Job;
use super::refuse::{LIMITED, REPEAT_BOUND, RESTING, Refusal, outcome_unknown};
use super::resume;
use super::send::{AttemptOutcome, MIN_TIME_LEFT_MS};
use crate::RetryAfter;
use crate::agents::{self, AgentLost, AskOutcome};
use crate::repeats::RepeatCause;
use crate::table::InFlight;
pub(super) use progress::Progress;

/// Wait for the first event after which callers disconnect, in objectives. They wait at least
/// [`MIN_PATIENCE`].
const PATIENCE_OBJECTIVES: u64 = 4;

/// Minimum of this wait.
const MIN_PATIENCE: Millis = Millis(2_000);

/// Time for which a request waits for an engine to become available, in objectives. After a longer wait it
/// would hardly be served before its caller disconnects.
const ENGINE_WAIT_OBJECTIVES: u64 = 2;

/// Interval between checks for an available engine.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Retry time returned if no engine gave one.
const DEFAULT_RETRY_AFTER: Millis = Millis(500);

/// Handles a request to a model engine.
pub(super) async fn serve(mut job: Job) -> Reply {
    job.count_request();
    if let Err(refusal) = job.bind_to_origin().await {
        return refusal.reply(&job.trace);
    }
    let mut progress = Progress::default();
    loop {
        if let Err(refusal) = job.acquire_permit().await {
            return job.refuse(progress.may_have_run, refusal);
        }
        let turn = match find_turn(&mut job, &mut progress).await {
            Ok(turn) => turn,
            Err(reason) => return final_refusal(&job, &progress, reason),
        };
        match attempt(&mut job, &turn, &mut progress).await {
            AttemptResult::Response(engine_response) => {
                let is_resumable =
                    engine_response.response.has_events() && job.route.retry == RetryMode::Resume;
                if is_resumable {
                    return resume::forward(*engine_response, job, progress);
                }
                let EngineResponse {
                    response,
                    in_flight,
                    ..
                } = *engine_response;
                return forward(response, VecDeque::new(), job.trace, in_flight);
            }
            AttemptResult::Retry => progress.shortlist.clear(),
            AttemptResult::Failed(reason) => return final_refusal(&job, &progress, reason),
        }
    }
}

/// Resumes a stream at another engine after its engine failed; returns `None` if there is none.
pub(super) async fn resume_elsewhere(
    job: &mut Job,
    progress: &mut Progress,
) -> Option<Box<EngineResponse>> {
    job.waiting_since = job.shared.timer.now();
    progress.search.restart();
    progress.shortlist.clear();
    if progress.sends >= job.route.max_attempts
        || !progress.reserve_repeat(job, RepeatCause::Resumed)
    {
        return None;
    }
    while progress.sends < job.route.max_attempts {
        job.acquire_permit().await.ok()?;
        let turn = find_turn(job, progress).await.ok()?;
        match attempt(job, &turn, progress).await {
            AttemptResult::Response(engine_response) if engine_response.response.has_events() => {
                return Some(engine_response);
            }
            AttemptResult::Retry => progress.shortlist.clear(),
            AttemptResult::Response(_) | AttemptResult::Failed(_) => return None,
        }
    }
    None
}

/// A turn granted at an engine.
struct GrantedTurn {
    upstream: Upstream,
    /// Version of the adapter loaded there, if known.
    version: Option<u64>,
    /// Start of the engine that the agent granted the turn for; `None` if the agent was lost.
    seen_start: Option<u64>,
}

impl GrantedTurn {
    fn new(upstream: Upstream, version: Option<u64>, seen_start: Option<u64>) -> Self {
        Self {
            upstream,
            version,
            seen_start,
        }
    }
}

/// Asks engines for a turn, in order of preference; returns the reason if none grants one.
async fn find_turn(job: &mut Job, progress: &mut Progress) -> Result<GrantedTurn, &'static str> {
    loop {
        if job.time_left().0 < MIN_TIME_LEFT_MS {
            return Err("deadline");
        }
        if job.is_too_late() {
            return Err(progress.refuse_stopping());
        }
        progress.shortlist.refresh(job, &progress.search).await;
        let Some((upstream, adapter_state)) =
            choose_engine(job, &progress.search, &progress.shortlist)
        else {
            if let Some(backoff) = job.min_backoff() {
                progress.set_backoff(backoff);
                return Err(RESTING);
            }
            if progress.search.switch_to_waiting() {
                continue;
            }
            if !may_await_engine(job, &progress.search) {
                return Err("no_engine");
            }
            job.shared.timer.sleep(ENGINE_CHECK_INTERVAL).await;
            progress.search.restart();
            progress.shortlist.expire(job.shared.timer.now());
            continue;
        };
        let Some(stays) = progress.search.count_ask() else {
            return Err("no_turn");
        };
        let asked = ask_turn(job, &upstream, adapter_state.needs_slot(), stays).await;
        let seen_start = asked.as_ref().ok().map(|outcome| outcome.seen_start);
        match asked.map(|outcome| outcome.turn) {
            Ok(Turn::Granted { version }) => {
                return Ok(GrantedTurn::new(upstream, version, seen_start));
            }
            Err(AgentLost) if adapter_state == AdapterState::Loaded => {
                if !reserve_without_agent(job, &upstream, progress) {
                    continue;
                }
                return Ok(GrantedTurn::new(upstream, None, seen_start));
            }
            Ok(Turn::Refused { reason, retry_ms }) => {
                progress.record_refusal(reason.as_str(), Millis(retry_ms));
                if reason == TurnRefusal::Limited {
                    job.shared.note_exhausted(&upstream, Millis(retry_ms));
                    progress.search.record_limited(&upstream.instance);
                } else {
                    progress.search.record_refusal(&upstream.instance);
                }
            }
            Err(AgentLost) => {
                progress.record_refusal("agent_lost", DEFAULT_RETRY_AFTER);
                progress.search.exclude(&upstream.instance);
            }
        }
    }
}

/// Reserves a slot in this gateway's share of the engine's rate limit, as its agent is lost; returns `false` if
/// there is none at once.
fn reserve_without_agent(job: &Job, upstream: &Upstream, progress: &mut Progress) -> bool {
    match job.shared.reserve(upstream, Millis(0)) {
        Admission::Refused(wait) => {
            progress.record_refusal(LIMITED, wait);
            progress.search.exclude(&upstream.instance);
            false
        }
        Admission::Unlimited | Admission::Reserved(_) => true,
    }
}

/// Whether an engine may become available that could still serve the request: one is listed and has not
/// failed it, although none accepts requests now. After a complete power loss, engines are back within two
/// seconds and known shortly after; without this wait, refused callers retried and were refused again.
fn may_await_engine(job: &Job, search: &TurnSearch) -> bool {
    let max_wait = Millis(job.route.objective_ms * ENGINE_WAIT_OBJECTIVES);
    let listed = job.candidates();
    job.trace.age() < max_wait && listed.iter().any(|u| !search.is_excluded(&u.instance))
}

/// A response, and the guard that counts its request as in progress.
pub(super) struct EngineResponse {
    pub(super) response: Response,
    /// Software version of the engine, if it is known for certain.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) in_flight: InFlight,
}

/// Result of an attempt at an engine.
enum AttemptResult {
    /// Response to forward.
    Response(Box<EngineResponse>),
    /// The request is not finished: another engine may be asked.
    Retry,
    /// No further attempt may follow, for this reason.
    Failed(&'static str),
}

async fn ask_turn(
    job: &Job,
    upstream: &Upstream,
    needs_slot: bool,
    stays: bool,
) -> Result<AskOutcome, AgentLost> {
    let started_at = job.shared.timer.now();
    let model = job.attributes.model.clone();
    let adapter = model.as_ref().and_then(|m| m.adapter.clone());
    let turn = agents::ask_turn(
        &job.shared,
        upstream,
        TurnAsk {
            request: job.id().to_owned(),
            base: model.map(|m| m.base).unwrap_or_default(),
            min_version: adapter_version(job).unwrap_or_default(),
            adapter,
            prompt_tokens: job.attributes.prompt_tokens,
            priority: job.priority().rank(),
            objective_ms: job.route.objective_ms,
            objective_left_ms: Millis(job.route.objective_ms).since(job.waited()).0,
            patience_ms: patience(job).0,
            waits_for_slot: stays,
            trial: job.trial(),
            pause_ms: job.route.pause_ms,
            account: job.named_account(),
        },
        needs_slot,
    )
    .await;
    let waited = job.shared.timer.now().since(started_at);
    job.shared.meters.turn_wait.observe(waited.as_secs());
    job.trace.add_turn_wait(waited);
    turn
}

/// Time for which the caller still waits for the next event.
fn patience(job: &Job) -> Millis {
    let max_wait = Millis(job.route.objective_ms * PATIENCE_OBJECTIVES);
    let max_wait = max_wait.max(MIN_PATIENCE);
    let left = max_wait.since(job.waited()).min(job.time_left());
    left.min(job.send_time_left().unwrap_or(left))
}

async fn attempt(job: &mut Job, turn: &GrantedTurn, progress: &mut Progress) -> AttemptResult {
    let instance = turn.upstream.instance.clone();
    let in_flight = job.shared.table.track(&instance, Some(job.id()));
    if !job.is_ready(&instance) {
        progress.search.exclude(&instance);
        return AttemptResult::Retry;
    }
    if !job.is_permitted() {
        return AttemptResult::Retry;
    }
    if job.is_too_late() {
        return AttemptResult::Failed(progress.refuse_stopping());
    }
    let software = job.shared.software_of(&turn.upstream, turn.seen_start);
    if job.binding != Binding::Unbound && job.binding != Binding::of(software.clone()) {
        progress.search.exclude(&instance);
        return AttemptResult::Retry;
    }
    if let Some(repeat) = &progress.repeat {
        repeat.spend();
    }
    progress.sends += 1;
    let version = adapter_version(job).max(turn.version);
    let outcome = job
        .send(&turn.upstream, version, job.time_left_duration())
        .await;
    progress.search.exclude(&instance);
    if !matches!(outcome, AttemptOutcome::NotSent(_)) {
        progress.repeat = None;
    }
    let sent = SentAttempt {
        turn,
        software,
        in_flight,
    };
    handle_outcome(job, sent, outcome, progress)
}

/// An attempt that was sent.
struct SentAttempt<'a> {
    turn: &'a GrantedTurn,
    software: Option<SoftwareVersion>,
    in_flight: InFlight,
}

/// Determines how to continue after an attempt.
fn handle_outcome(
    job: &Job,
    sent: SentAttempt<'_>,
    outcome: AttemptOutcome,
    progress: &mut Progress,
) -> AttemptResult {
    let turn = sent.turn;
    match outcome {
        AttemptOutcome::Response(response) => {
            let is_failure = response.status() >= 500;
            if is_failure && handle_failure(job, turn, progress) {
                return AttemptResult::Retry;
            }
            AttemptResult::Response(Box::new(EngineResponse {
                response: *response,
                software: sent.software,
                in_flight: sent.in_flight,
            }))
        }
        AttemptOutcome::NotRun(attributes) => {
            let retry_after = match attributes.retry_after {
                Some(RetryAfter::DelayMs(ms)) => Millis(ms),
                _ => DEFAULT_RETRY_AFTER,
            };
            handle_not_run(job, retry_after, progress)
        }
        AttemptOutcome::NotSent(e) => {
            progress.sends -= 1;
            record_failure(job, &turn.upstream);
            job.trace.log_attempt_lost("send", false, true, &e);
            progress.record_refusal("not_sent", DEFAULT_RETRY_AFTER);
            AttemptResult::Retry
        }
        AttemptOutcome::Lost(e) => handle_lost(job, turn, &e, progress),
        AttemptOutcome::TimedOut => {
            progress.may_have_run = true;
            record_failure(job, &turn.upstream);
            job.trace
                .log_attempt_lost("await answer", true, false, "deadline");
            AttemptResult::Failed("deadline")
        }
    }
}

/// Records that the engine responded with a failure, and returns whether another attempt follows.
fn handle_failure(job: &Job, turn: &GrantedTurn, progress: &mut Progress) -> bool {
    record_failure(job, &turn.upstream);
    let will_retry = progress.may_retry(job) && progress.reserve_repeat(job, RepeatCause::Failed);
    if will_retry {
        job.trace
            .log_attempt_lost("read answer", true, true, "engine failed");
        progress.may_have_run = true;
    }
    will_retry
}

fn handle_not_run(job: &Job, retry_after: Millis, progress: &mut Progress) -> AttemptResult {
    let will_retry = progress.reserve_repeat(job, RepeatCause::Refused);
    job.trace
        .log_attempt_lost("refused by engine", false, will_retry, "");
    if will_retry {
        progress.record_refusal("engine_refused", retry_after);
        AttemptResult::Retry
    } else {
        progress.record_refusal(REPEAT_BOUND, job.spread(retry_after));
        AttemptResult::Failed(REPEAT_BOUND)
    }
}

fn handle_lost(
    job: &Job,
    turn: &GrantedTurn,
    error: &str,
    progress: &mut Progress,
) -> AttemptResult {
    progress.may_have_run = true;
    record_failure(job, &turn.upstream);
    let may_retry = progress.may_retry(job);
    let will_retry = may_retry && progress.reserve_repeat(job, RepeatCause::Lost);
    job.trace
        .log_attempt_lost("await answer", true, will_retry, error);
    if will_retry {
        AttemptResult::Retry
    } else if may_retry {
        AttemptResult::Failed(REPEAT_BOUND)
    } else {
        AttemptResult::Failed("no_answer")
    }
}

fn record_failure(job: &Job, upstream: &Upstream) {
    let now = job.shared.timer.now();
    job.shared
        .table
        .with(&upstream.instance, |r| r.stats.record_failure(now));
}

/// Final response if no engine provided one.
fn final_refusal(job: &Job, progress: &Progress, reason: &'static str) -> Reply {
    job.release_permit();
    if progress.may_have_run {
        return outcome_unknown(&job.trace, job.unknown_status(), reason);
    }
    let reason = progress.reason.unwrap_or(reason);
    let retry_after = progress.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    Refusal::new(reason, retry_after).reply(&job.trace)
}
