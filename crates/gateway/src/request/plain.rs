//! Requests to plain services, which have a few slots per upstream and short objectives.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use pumicecleat_catalog::{RetryMode, Upstream};
use pumicecleat_net::Reply;
use pumicecleat_policy::Admission;
use pumicecleat_types::Millis;

use super::forward::{Buffered, buffer, forward};
use super::job::Job;
use super::refuse::{LIMITED, REPEAT_BOUND, Refusal, STOPPING, outcome_unknown};
use super::send::{AttemptOutcome, MIN_TIME_LEFT_MS};
use crate::limit_pool::{self, PoolAnswer};
use crate::repeats::{RepeatCause, RepeatReservation};

/// Part of the objective after which a retryable request is sent to another upstream, so that the retry can
/// still meet the objective. With one half, one response in thirty is slower than this.
const ATTEMPT_TIMEOUT_PART: f64 = 0.5;

/// Minimum timeout of such an attempt: one round trip between data centres and the mean response time.
const MIN_ATTEMPT_TIMEOUT: Millis = Millis(60);

/// Retry time returned if all upstreams of a service are full: one response time.
const FULL_RETRY_AFTER: Millis = Millis(150);

/// Maximum number of sends of one request, including those that reached no upstream. Bounds the attempts if
/// all upstreams of a service refuse connections.
const MAX_SENDS: u32 = 8;

/// Maximum number of upstreams that a request asks for a slot, including those that it asks again.
const MAX_SLOT_ASKS: u32 = 16;

/// Next step after an attempt.
enum Next {
    Reply(Reply),
    Retry,
}

/// Progress of a request.
#[derive(Default)]
struct Progress {
    sends: u32,
    /// Upstream that accepts the next attempt.
    next: Option<Upstream>,
    /// Reserved for the next attempt, if it is a repeat.
    repeat: Option<RepeatReservation>,
    /// Whether the limit of repeats allowed no other attempt.
    is_stopped: bool,
    /// Whether an attempt may have been executed.
    may_have_run: bool,
}

/// Handles a request to a plain service.
pub(super) async fn serve(mut job: Job) -> Reply {
    job.count_request();
    let mut progress = Progress::default();
    loop {
        if let Some(reply) = out_of_time(&job, &progress) {
            return reply;
        }
        if let Err(refusal) = job.acquire_permit().await {
            return job.refuse(progress.may_have_run, refusal);
        }
        let admitted = match progress.next.take() {
            Some(upstream) => Ok(Some(upstream)),
            None => admit(&job).await,
        };
        let upstream = match admitted {
            Ok(Some(upstream)) => upstream,
            Ok(None) => return final_refusal(&job, &progress, "no_upstream"),
            Err(wait) => return refuse_limited(&job, &progress, wait),
        };
        if !job.is_ready(&upstream.instance) {
            continue;
        }
        if let Some(reply) = out_of_time(&job, &progress) {
            return reply;
        }
        progress.sends += 1;
        let in_flight = job.shared.table.track(&upstream.instance, None);
        let started_at = job.shared.timer.now();
        if let Some(repeat) = &progress.repeat {
            repeat.spend();
        }
        job.tried_instances.push(upstream.instance.clone());
        let result = attempt(&job, &upstream, &mut progress).await;
        let next = match result {
            AttemptResult::Oversized(response, prefix) => {
                return forward(response, prefix, job.trace, in_flight);
            }
            AttemptResult::Complete(reply) => {
                let took = job.shared.timer.now().since(started_at);
                handle_response(&job, &upstream, reply, took, &mut progress)
            }
            AttemptResult::Failed { cause, step, error } => {
                let may_have_run = cause.is_some();
                let now = job.shared.timer.now();
                job.shared
                    .table
                    .with(&upstream.instance, |r| r.stats.record_failure(now));
                progress.may_have_run |= may_have_run;
                handle_failure(&job, &mut progress, cause, step, &error)
            }
            AttemptResult::NotRun => {
                let step = "refused by upstream";
                handle_failure(&job, &mut progress, Some(RepeatCause::Refused), step, "")
            }
        };
        if let Next::Reply(reply) = next {
            return reply;
        }
    }
}

enum AttemptResult {
    Complete(Reply),
    Oversized(pumicecleat_net::Response, VecDeque<Bytes>),
    Failed {
        /// Why another attempt is a repeat; `None` if nothing was sent.
        cause: Option<RepeatCause>,
        step: &'static str,
        error: String,
    },
    NotRun,
}

/// Sends the request to `upstream`. Once it has taken longer than the attempt timeout, it is abandoned as soon as
/// another upstream has a slot, which is reserved for the next attempt: an attempt that could not be repeated in
/// time would otherwise be abandoned for an unknown outcome.
async fn attempt(job: &Job, upstream: &Upstream, progress: &mut Progress) -> AttemptResult {
    let timer = &job.shared.timer;
    let left = job.time_left_duration();
    let timeout = attempt_timeout(job, progress.sends);
    let mut exchange = Box::pin(exchange(job, upstream, left));
    loop {
        let within = timeout.min(job.time_left_duration());
        if let Ok(result) = timer.within(within, &mut exchange).await {
            return result;
        }
        if timeout >= left || job.time_left() == Millis(0) {
            break;
        }
        let admitted = match select(exchange, Box::pin(admit(job))).await {
            Either::Left((result, _)) => return result,
            Either::Right((admitted, pending)) => {
                exchange = pending;
                admitted
            }
        };
        if let Ok(Some(next)) = admitted {
            progress.next = Some(next);
            break;
        }
    }
    AttemptResult::Failed {
        cause: Some(RepeatCause::Lost),
        step: "await answer",
        error: format!("no complete response within {timeout:?}"),
    }
}

async fn exchange(job: &Job, upstream: &Upstream, timeout: Duration) -> AttemptResult {
    let failed = |cause, step, error| AttemptResult::Failed { cause, step, error };
    match job.send(upstream, None, timeout).await {
        AttemptOutcome::Response(response) => match buffer(*response, &job.shared.budget).await {
            Ok(Buffered::Complete(reply)) => AttemptResult::Complete(reply),
            Ok(Buffered::Oversized(response, prefix)) => AttemptResult::Oversized(response, prefix),
            Err(e) => {
                job.trace.record_lost_connection();
                failed(Some(RepeatCause::Lost), "read answer", e.to_string())
            }
        },
        AttemptOutcome::NotRun(_) => AttemptResult::NotRun,
        AttemptOutcome::NotSent(e) => failed(None, "send", e),
        AttemptOutcome::Lost(e) => failed(Some(RepeatCause::Lost), "await answer", e),
        AttemptOutcome::TimedOut => failed(
            Some(RepeatCause::Lost),
            "await answer",
            format!("no response within {timeout:?}"),
        ),
    }
}

/// Timeout of one attempt: all of the time left, unless another attempt may follow.
fn attempt_timeout(job: &Job, sends: u32) -> Duration {
    let left = job.time_left();
    let may_retry = job.route.retry == RetryMode::Whole && sends < job.route.max_attempts;
    let has_others = !job.candidates().is_empty();
    if !may_retry || !has_others {
        return Duration::from_millis(left.0);
    }
    let objective_part =
        Duration::from_millis(job.route.objective_ms).mul_f64(ATTEMPT_TIMEOUT_PART);
    let shortest = Duration::from_millis(MIN_ATTEMPT_TIMEOUT.0);
    objective_part
        .max(shortest)
        .min(Duration::from_millis(left.0))
}

/// Selects an upstream, and waits for a slot under its rate limit if necessary. Fails with the time until its
/// next slot if that exceeds the rest of the objective.
async fn admit(job: &Job) -> Result<Option<Upstream>, Millis> {
    let mut next_slot = Millis(0);
    for _ in 0..MAX_SLOT_ASKS {
        let Some((upstream, wait)) = choose_upstream(job) else {
            return Ok(None);
        };
        if wait > slot_patience(job) {
            return Err(wait);
        }
        match ask_slot(job, &upstream).await {
            PoolAnswer::Granted => return Ok(Some(upstream)),
            PoolAnswer::Refused(wait) => next_slot = wait,
            PoolAnswer::OwnShare => {
                let wait = reserve_own(job, &upstream)?;
                sleep(job, wait).await;
                return Ok(Some(upstream));
            }
        }
    }
    Err(next_slot)
}

/// Waits behind the requests that wait for a slot of `upstream`, and asks for one. A request that has waited goes on
/// asking while it can be in time.
async fn ask_slot(job: &Job, upstream: &Upstream) -> PoolAnswer {
    let wait = limit_pool::enter(&job.shared, upstream);
    sleep(job, wait).await;
    loop {
        let answer = limit_pool::request(&job.shared, upstream).await;
        match answer {
            PoolAnswer::Refused(more) if wait > Millis(0) && more <= slot_patience(job) => {
                sleep(job, more).await;
            }
            _ => return answer,
        }
    }
}

async fn sleep(job: &Job, wait: Millis) {
    if wait > Millis(0) {
        let wait = Duration::from_millis(wait.0);
        job.shared.timer.sleep(wait).await;
    }
}

/// Reserves a slot in this gateway's own share of the rate limit of `upstream`, and returns the wait for it.
fn reserve_own(job: &Job, upstream: &Upstream) -> Result<Millis, Millis> {
    let wait = job.shared.limit_wait(upstream);
    if wait > slot_patience(job) {
        return Err(wait);
    }
    match job.shared.reserve(upstream, wait) {
        Admission::Unlimited => Ok(Millis(0)),
        Admission::Reserved(slot) => Ok(slot.wait),
        Admission::Refused(wait) => Err(wait),
    }
}

/// Time for which a request may wait for a slot: the rest of its objective.
fn slot_patience(job: &Job) -> Millis {
    Millis(job.route.objective_ms).since(job.trace.age())
}

/// Upstream with the shortest wait under its rate limit, and that wait. Among equal waits, the upstream with
/// the lowest expected response time is chosen.
fn choose_upstream(job: &Job) -> Option<(Upstream, Millis)> {
    let now = job.shared.timer.now();
    let cost = |u: &Upstream| {
        job.shared.table.with(&u.instance, |r| {
            let view = r.upstream_load(u.slots, u.centre != job.shared.centre, now);
            r.stats.cost(&view, now)
        })
    };
    let candidates = job.candidates().into_iter();
    let costed = candidates.map(|u| (limit_pool::wait(&job.shared, &u), cost(&u), u));
    let shortest = costed.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    shortest.map(|(wait, _, upstream)| (upstream, wait))
}

/// Whether another attempt may follow; `may_have_run` if the last one may have been executed. If so, reserves
/// it, unless nothing was sent.
fn try_retry(
    job: &Job,
    progress: &mut Progress,
    may_have_run: bool,
    cause: Option<RepeatCause>,
) -> bool {
    let may_retry = job.route.retry == RetryMode::Whole && progress.sends < job.route.max_attempts;
    let is_allowed = (!may_have_run || may_retry) && progress.sends < MAX_SENDS;
    let can_continue = job.time_left().0 > MIN_TIME_LEFT_MS && !job.candidates().is_empty();
    if !is_allowed || !can_continue {
        return false;
    }
    let Some(cause) = cause else {
        return true;
    };
    progress.repeat = job.reserve_repeat(cause);
    progress.is_stopped = progress.repeat.is_none();
    !progress.is_stopped
}

/// Returns a complete response, unless it reports a failure and another attempt may follow.
fn handle_response(
    job: &Job,
    upstream: &Upstream,
    reply: Reply,
    took: Millis,
    progress: &mut Progress,
) -> Next {
    let status = reply.status().as_u16();
    progress.may_have_run = true;
    if status >= 500 {
        if try_retry(job, progress, true, Some(RepeatCause::Failed)) {
            job.trace
                .log_attempt_lost("read answer", true, true, "upstream failed");
            return Next::Retry;
        }
    } else {
        job.shared
            .table
            .with(&upstream.instance, |r| r.stats.record_response(took));
    }
    if status < 500 {
        job.trace.record_served();
    }
    job.trace.record_first_byte();
    job.trace.log_passed_on(status, None);
    Next::Reply(reply)
}

fn handle_failure(
    job: &Job,
    progress: &mut Progress,
    cause: Option<RepeatCause>,
    step: &str,
    error: &str,
) -> Next {
    let may_have_run = cause == Some(RepeatCause::Lost);
    let will_retry = try_retry(job, progress, may_have_run, cause);
    job.trace
        .log_attempt_lost(step, may_have_run, will_retry, error);
    if will_retry {
        return Next::Retry;
    }
    let reason = if progress.is_stopped {
        REPEAT_BOUND
    } else if may_have_run {
        "no_answer"
    } else {
        "no_upstream"
    };
    Next::Reply(final_refusal(job, progress, reason))
}

/// Final response if the rate limits of all upstreams delay the request too long; `wait` is the time until
/// the next slot.
fn refuse_limited(job: &Job, progress: &Progress, wait: Millis) -> Reply {
    job.shared.meters.count_limited(&job.service, "refused");
    if progress.may_have_run {
        return final_refusal(job, progress, LIMITED);
    }
    job.release_permit();
    Refusal::new(LIMITED, wait).reply(&job.trace)
}

/// Final response if there is no time for another attempt before the deadline or the end of the process.
fn out_of_time(job: &Job, progress: &Progress) -> Option<Reply> {
    if job.time_left().0 < MIN_TIME_LEFT_MS {
        return Some(final_refusal(job, progress, "deadline"));
    }
    if !job.is_too_late() {
        return None;
    }
    if progress.may_have_run {
        return Some(final_refusal(job, progress, STOPPING));
    }
    job.release_permit();
    Some(Refusal::stopping().reply(&job.trace))
}

/// Final response if no upstream provided one.
fn final_refusal(job: &Job, progress: &Progress, reason: &'static str) -> Reply {
    job.release_permit();
    if progress.may_have_run {
        return outcome_unknown(&job.trace, job.unknown_status(), reason);
    }
    if let Some(backoff) = job.min_backoff() {
        return Refusal::resting(backoff).reply(&job.trace);
    }
    if job.tried_instances.is_empty() {
        return Refusal::no_upstream().reply(&job.trace);
    }
    let retry_after = if progress.is_stopped {
        job.spread(FULL_RETRY_AFTER)
    } else {
        FULL_RETRY_AFTER
    };
    Refusal::new(reason, retry_after).reply(&job.trace)
}
