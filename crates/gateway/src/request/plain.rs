//! Requests for plain services, which have a few slots each and short objectives.

use std::time::Duration;

use pumicecleat_catalog::{Repeat, Upstream};
use pumicecleat_net::Reply;
use pumicecleat_types::Millis;

use super::job::Job;
use super::refuse::{Refusal, unsettled};
use super::relay::{Held, hold, pass};
use super::send::{Attempt, LEAST_LEFT};

/// Part of the objective after which a request that may be repeated is sent elsewhere, while that
/// can still be in time. At half of it, one answer in thirty is slower.
const PATIENCE: f64 = 0.5;

/// Least such time: two ways between data centres and an answer's mean.
const LEAST_PATIENCE: Millis = Millis(60);

/// When to come back to a service whose upstreams are all full: an answer's time.
const FULL_RETRY: Millis = Millis(150);

/// When to come back after attempts that did not run.
const FAILED_RETRY: Millis = Millis(300);

/// What follows an attempt.
enum Next {
    Reply(Reply),
    Again,
}

/// Serves a request for a plain service.
pub(super) async fn serve(mut job: Job) -> Reply {
    job.shared.count_request(&job.service);
    let mut sent = 0;
    let mut ran = false;
    loop {
        if job.left().0 < LEAST_LEFT {
            return give_up(&job, ran, "deadline");
        }
        let Some(upstream) = choose(&job) else {
            return give_up(&job, ran, "no_upstream");
        };
        if sent > 0 && !job.shared.may_repeat(&job.service) {
            return give_up(&job, ran, "repeat_bound");
        }
        sent += 1;
        let under_way = job.shared.table.enter(&upstream.instance, None);
        let from = job.shared.timer.now();
        let attempt = attempt(&job, &upstream, sent).await;
        job.tried.push(upstream.instance.clone());
        let (next, may_have_run) = match attempt {
            Tried::Whole(reply) => {
                let took = job.shared.timer.now().since(from);
                settle(&mut job, &upstream, reply, took, sent)
            }
            Tried::Long(response, start) => {
                return pass(response, start, job.trail, under_way);
            }
            Tried::Failed { ran, step, error } => {
                let now = job.shared.timer.now();
                job.shared
                    .table
                    .with(&upstream.instance, |r| r.slots.failed(now));
                (fail(&job, ran, sent, step, &error), ran)
            }
            Tried::NotRun => {
                job.trail.lost("refused by upstream", false, true, "");
                (Next::Again, false)
            }
        };
        // An attempt that was not sent is none.
        if matches!(next, Next::Again) && !may_have_run && sent > 0 && job.trail.attempts() > 8 {
            return give_up(&job, ran, "attempts");
        }
        ran |= may_have_run;
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
            Err(e) => failed(true, "read answer", e.to_string()),
        },
        Attempt::NotRun(_) => Tried::NotRun,
        Attempt::NotSent(e) => failed(false, "send", e),
        Attempt::Lost(e) => failed(true, "await answer", e),
        Attempt::Late => failed(true, "await answer", format!("none within {span:?}")),
    }
}

/// Time for one attempt: what is left, unless another attempt may follow.
fn patience(job: &Job, sent: u32) -> Duration {
    let left = job.left();
    let another = job.route.repeat == Repeat::Whole && sent < job.route.attempts;
    let others = job.candidates().len() > 1;
    if !another || !others {
        return Duration::from_millis(left.0);
    }
    let part = Duration::from_millis(job.route.objective_ms).mul_f64(PATIENCE);
    let least = Duration::from_millis(LEAST_PATIENCE.0);
    part.max(least).min(Duration::from_millis(left.0))
}

fn choose(job: &Job) -> Option<Upstream> {
    let now = job.shared.timer.now();
    let cost = |u: &Upstream| {
        job.shared.table.with(&u.instance, |r| {
            let view = r.slot_view(u.slots, u.centre != job.shared.centre, now);
            r.slots.cost(&view, now)
        })
    };
    let candidates = job.candidates().into_iter();
    let costed = candidates.map(|u| (cost(&u), u));
    let least = costed.min_by(|a, b| a.0.total_cmp(&b.0));
    least.map(|(_, upstream)| upstream)
}

/// Passes a whole answer on, unless it tells of a failure and another attempt may do better.
fn settle(
    job: &mut Job,
    upstream: &Upstream,
    reply: Reply,
    took: Millis,
    sent: u32,
) -> (Next, bool) {
    let status = reply.status().as_u16();
    let failed = status >= 500;
    job.shared.table.with(&upstream.instance, |r| {
        if !failed {
            r.slots.answered(took);
        }
    });
    let repeatable = job.route.repeat == Repeat::Whole && sent < job.route.attempts;
    let others = !job.candidates().is_empty() && job.left().0 > LEAST_LEFT;
    if failed && repeatable && others {
        job.trail.lost("read answer", true, true, "upstream failed");
        return (Next::Again, true);
    }
    job.trail.first();
    job.trail.passed_on(status, true);
    (Next::Reply(reply), true)
}

fn fail(job: &Job, ran: bool, sent: u32, step: &str, error: &str) -> Next {
    let repeatable = job.route.repeat == Repeat::Whole && sent < job.route.attempts;
    let again = (!ran || repeatable) && job.left().0 > LEAST_LEFT;
    job.trail.lost(step, ran, again, error);
    if again {
        return Next::Again;
    }
    Next::Reply(give_up(job, ran, "no_answer"))
}

/// Final answer without an upstream's.
fn give_up(job: &Job, ran: bool, reason: &'static str) -> Reply {
    if ran {
        let status = if job.left().0 < LEAST_LEFT { 504 } else { 502 };
        return unsettled(&job.trail, status, reason);
    }
    let retry = if reason == "no_upstream" && job.tried.is_empty() {
        return Refusal::no_upstream().reply(&job.trail);
    } else if job.tried.is_empty() {
        FAILED_RETRY
    } else {
        FULL_RETRY
    };
    Refusal::new(reason, retry).reply(&job.trail)
}
