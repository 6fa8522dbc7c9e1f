//! Requests to plain services, which have a few slots per upstream and short objectives.

use std::time::Duration;

use pumicecleat_catalog::{RetryMode, Upstream};
use pumicecleat_net::Reply;
use pumicecleat_policy::Admission;
use pumicecleat_types::Millis;

use super::job::Job;
use super::refuse::{LIMITED, Refusal, unsettled};
use super::relay::{Held, hold, pass};
use super::send::{Attempt, LEAST_LEFT};

/// Part of the objective after which a retryable request is sent to another upstream, so that the retry can
/// still meet the objective. With one half, one response in thirty is slower than this.
const PATIENCE: f64 = 0.5;

/// Minimum timeout of such an attempt: two round trips between data centres and the mean response time.
const LEAST_PATIENCE: Millis = Millis(60);

/// Retry time returned if all upstreams of a service are full: one response time.
const FULL_RETRY: Millis = Millis(150);

/// Maximum number of sends of one request, including those that reached no upstream. Bounds the attempts if
/// all upstreams of a service refuse connections.
const SENDS: u32 = 8;

/// Next step after an attempt.
enum Next {
    Reply(Reply),
    Again,
}

/// Progress of a request.
#[derive(Default)]
struct Progress {
    sent: u32,
    /// Whether an attempt may have been executed.
    ran: bool,
}

/// Handles a request to a plain service.
pub(super) async fn serve(mut job: Job) -> Reply {
    job.shared.count_request(&job.service);
    let mut progress = Progress::default();
    loop {
        if job.left().0 < LEAST_LEFT {
            return give_up(&job, &progress, "deadline");
        }
        if let Err(refusal) = job.clear().await {
            return job.refuse(progress.ran, refusal);
        }
        let upstream = match admit(&job).await {
            Ok(Some(upstream)) => upstream,
            Ok(None) => return give_up(&job, &progress, "no_upstream"),
            Err(wait) => return refuse_limited(&job, &progress, wait),
        };
        if !job.is_ready(&upstream.instance) {
            continue;
        }
        progress.sent += 1;
        let under_way = job.shared.table.enter(&upstream.instance, None);
        let from = job.shared.timer.now();
        let tried = attempt(&job, &upstream, progress.sent).await;
        job.tried.push(upstream.instance.clone());
        let next = match tried {
            Tried::Long(response, start) => return pass(response, start, job.trail, under_way),
            Tried::Whole(reply) => {
                let took = job.shared.timer.now().since(from);
                settle(&job, &upstream, reply, took, &mut progress)
            }
            Tried::Failed { ran, step, error } => {
                let now = job.shared.timer.now();
                job.shared
                    .table
                    .with(&upstream.instance, |r| r.slots.record_failure(now));
                progress.ran |= ran;
                fail(&job, &progress, ran, step, &error)
            }
            Tried::NotRun => fail(&job, &progress, false, "refused by upstream", ""),
        };
        if let Next::Reply(reply) = next {
            return reply;
        }
    }
}

enum Tried {
    Whole(Reply),
    Long(pumicecleat_net::Response, Vec<u8>),
    Failed {
        ran: bool,
        step: &'static str,
        error: String,
    },
    NotRun,
}

async fn attempt(job: &Job, upstream: &Upstream, sent: u32) -> Tried {
    let span = patience(job, sent);
    let within = job.shared.timer.within(span, exchange(job, upstream, span));
    within.await.unwrap_or_else(|_| Tried::Failed {
        ran: true,
        step: "await answer",
        error: format!("not whole within {span:?}"),
    })
}

async fn exchange(job: &Job, upstream: &Upstream, span: Duration) -> Tried {
    let failed = |ran, step, error| Tried::Failed { ran, step, error };
    match job.send(upstream, None, span).await {
        Attempt::Answer(response) => match hold(response).await {
            Ok(Held::Whole(reply)) => Tried::Whole(reply),
            Ok(Held::Long(response, start)) => Tried::Long(response, start),
            Err(e) => {
                job.trail.broke();
                failed(true, "read answer", e.to_string())
            }
        },
        Attempt::NotRun(_) => Tried::NotRun,
        Attempt::NotSent(e) => failed(false, "send", e),
        Attempt::Lost(e) => failed(true, "await answer", e),
        Attempt::Late => failed(true, "await answer", format!("none within {span:?}")),
    }
}

/// Timeout of one attempt: all of the time left, unless another attempt may follow.
fn patience(job: &Job, sent: u32) -> Duration {
    let left = job.left();
    let another = job.route.retry == RetryMode::Whole && sent < job.route.max_attempts;
    let others = job.candidates().len() > 1;
    if !another || !others {
        return Duration::from_millis(left.0);
    }
    let part = Duration::from_millis(job.route.objective_ms).mul_f64(PATIENCE);
    let least = Duration::from_millis(LEAST_PATIENCE.0);
    part.max(least).min(Duration::from_millis(left.0))
}

/// Selects an upstream, waits for a slot under its rate limit if necessary, and returns the upstream. Fails
/// with the time until its next slot if that exceeds the rest of the objective.
async fn admit(job: &Job) -> Result<Option<Upstream>, Millis> {
    let Some((upstream, wait)) = choose(job) else {
        return Ok(None);
    };
    let due = Millis(job.route.objective_ms).since(job.trail.age());
    let max_wait = if wait > Millis(0) { due } else { Millis(0) };
    match job.shared.reserve(&upstream, max_wait) {
        Admission::Unlimited => Ok(Some(upstream)),
        Admission::Reserved(slot) => {
            job.shared
                .timer
                .sleep(Duration::from_millis(slot.wait.0))
                .await;
            Ok(Some(upstream))
        }
        Admission::Refused(wait) => Err(wait),
    }
}

/// Upstream with the shortest wait under its rate limit, and that wait. Among equal waits, the upstream with
/// the lowest expected response time is chosen.
fn choose(job: &Job) -> Option<(Upstream, Millis)> {
    let now = job.shared.timer.now();
    let cost = |u: &Upstream| {
        job.shared.table.with(&u.instance, |r| {
            let view = r.slot_view(u.slots, u.centre != job.shared.centre, now);
            r.slots.cost(&view, now)
        })
    };
    let candidates = job.candidates().into_iter();
    let costed = candidates.map(|u| (job.shared.limit_wait(&u), cost(&u), u));
    let least = costed.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    least.map(|(wait, _, upstream)| (upstream, wait))
}

/// Whether another attempt may follow; `may_have_run` if the last one may have been executed. If so, counts
/// it against the limit of repeats.
fn may_go_on(job: &Job, progress: &Progress, ran: bool) -> bool {
    let repeatable = job.route.retry == RetryMode::Whole && progress.sent < job.route.max_attempts;
    let open = (!ran || repeatable) && progress.sent < SENDS;
    let left = job.left().0 > LEAST_LEFT && !job.candidates().is_empty();
    open && left && job.shared.may_repeat(&job.service)
}

/// Returns a complete response, unless it reports a failure and another attempt may follow.
fn settle(
    job: &Job,
    upstream: &Upstream,
    reply: Reply,
    took: Millis,
    progress: &mut Progress,
) -> Next {
    let status = reply.status().as_u16();
    progress.ran = true;
    if status >= 500 {
        if may_go_on(job, progress, true) {
            job.trail.lost("read answer", true, true, "upstream failed");
            return Next::Again;
        }
    } else {
        job.shared
            .table
            .with(&upstream.instance, |r| r.slots.record_response(took));
    }
    if status < 500 {
        job.trail.served();
    }
    job.trail.first();
    job.trail.passed_on(status, true);
    Next::Reply(reply)
}

fn fail(job: &Job, progress: &Progress, ran: bool, step: &str, error: &str) -> Next {
    let again = may_go_on(job, progress, ran);
    job.trail.lost(step, ran, again, error);
    if again {
        return Next::Again;
    }
    let reason = if ran { "no_answer" } else { "no_upstream" };
    Next::Reply(give_up(job, progress, reason))
}

/// Final response if the rate limits of all upstreams delay the request too long; `wait` is the time until
/// the next slot.
fn refuse_limited(job: &Job, progress: &Progress, wait: Millis) -> Reply {
    if progress.ran {
        return give_up(job, progress, LIMITED);
    }
    job.give_permit_back();
    Refusal::new(LIMITED, wait).reply(&job.trail)
}

/// Final response if no upstream provided one.
fn give_up(job: &Job, progress: &Progress, reason: &'static str) -> Reply {
    job.give_permit_back();
    if progress.ran {
        let status = if job.left().0 < LEAST_LEFT { 504 } else { 502 };
        return unsettled(&job.trail, status, reason);
    }
    if let Some(left) = job.resting() {
        return Refusal::resting(left).reply(&job.trail);
    }
    if job.tried.is_empty() {
        return Refusal::no_upstream().reply(&job.trail);
    }
    Refusal::new(reason, FULL_RETRY).reply(&job.trail)
}
