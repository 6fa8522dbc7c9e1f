//! Requests to model engines: obtains a turn from the agent, then sends the request directly to the engine.

use std::time::Duration;

use pumicecleat_catalog::{Catalog, RetryMode, Upstream};
use pumicecleat_net::{Reply, Response};
use pumicecleat_policy::{AdapterState, Admission, EngineChoice, EngineView, TurnSearch};
use pumicecleat_types::{Millis, Turn, TurnAsk, TurnRefusal};

use super::job::Job;
use super::refuse::{LIMITED, RESTING, Refusal, unsettled};
use super::relay::pass;
use super::resume;
use super::send::{Attempt, LEAST_LEFT};
use crate::RetryAfter;
use crate::side::{self, AgentLost};
use crate::table::UnderWay;

/// Wait for the first event after which callers disconnect, in objectives. They wait at least
/// [`MIN_PATIENCE`].
const PATIENCE: u64 = 4;

/// Minimum of this wait.
const LEAST_PATIENCE: Millis = Millis(2_000);

/// Time for which a request waits for an engine to become available, in objectives. After a longer wait it
/// would hardly be served before its caller disconnects.
const AWAIT: u64 = 2;

/// Interval between checks for an available engine.
const ENGINE_LOOK: Duration = Duration::from_millis(25);

/// Retry time returned if no engine gave one.
const RETRY: Millis = Millis(500);

/// Handles a request to a model engine.
pub(super) async fn serve(mut job: Job) -> Reply {
    job.shared.count_request(&job.service);
    let mut progress = Progress::default();
    loop {
        if let Err(refusal) = job.clear().await {
            return job.refuse(progress.ran, refusal);
        }
        let turn = match find_turn(&mut job, &mut progress).await {
            Ok(turn) => turn,
            Err(reason) => return give_up(&job, &progress, reason),
        };
        match run(&mut job, &turn, &mut progress).await {
            Ran::Answer(answered) => {
                let Answered {
                    response,
                    under_way,
                } = *answered;
                let stream = response.status() == 200 && job.route.retry == RetryMode::Resume;
                if stream {
                    return resume::pass(response, job, progress, under_way);
                }
                return pass(response, Vec::new(), job.trail, under_way);
            }
            Ran::Again => {}
            Ran::Over(reason) => return give_up(&job, &progress, reason),
        }
    }
}

/// Resumes a stream at another engine after its engine failed; returns `None` if there is none.
pub(super) async fn go_on(job: &mut Job, progress: &mut Progress) -> Option<Box<Answered>> {
    progress.search.restart();
    while progress.sent < job.route.max_attempts {
        job.clear().await.ok()?;
        let turn = find_turn(job, progress).await.ok()?;
        match run(job, &turn, progress).await {
            Ran::Answer(answered) if answered.response.status() == 200 => return Some(answered),
            Ran::Again => {}
            Ran::Answer(_) | Ran::Over(_) => return None,
        }
    }
    None
}

/// A turn granted at an engine.
struct HadTurn {
    upstream: Upstream,
    /// Version of the adapter loaded there, if known.
    version: Option<u64>,
}

/// Asks engines for a turn, in order of preference; returns the reason if none grants one.
async fn find_turn(job: &mut Job, progress: &mut Progress) -> Result<HadTurn, &'static str> {
    loop {
        if job.left().0 < LEAST_LEFT {
            return Err("deadline");
        }
        let Some((upstream, hold)) = choose(job, &progress.search) else {
            if let Some(left) = job.resting() {
                progress.rests(left);
                return Err(RESTING);
            }
            if progress.search.switch_to_waiting() {
                continue;
            }
            if !may_await_engine(job, &progress.search) {
                return Err("no_engine");
            }
            job.shared.timer.sleep(ENGINE_LOOK).await;
            progress.search.restart();
            continue;
        };
        let Some(stays) = progress.search.count_ask() else {
            return Err("no_turn");
        };
        match ask(job, &upstream, hold.needs_slot(), stays).await {
            Ok(Turn::Go { version }) => return Ok(HadTurn { upstream, version }),
            Err(AgentLost) if hold == AdapterState::Loaded => {
                if let Admission::Refused(wait) = job.shared.reserve(&upstream, Millis(0)) {
                    progress.refused(LIMITED, wait);
                    progress.search.exclude(&upstream.instance);
                    continue;
                }
                let version = None;
                return Ok(HadTurn { upstream, version });
            }
            Ok(Turn::No { reason, retry_ms }) => {
                if reason == TurnRefusal::Limited {
                    job.shared.note_exhausted(&upstream, Millis(retry_ms));
                }
                progress.refused(reason.as_str(), Millis(retry_ms));
                progress.search.record_refusal(&upstream.instance);
            }
            Err(AgentLost) => {
                progress.refused("agent_lost", RETRY);
                progress.search.exclude(&upstream.instance);
            }
        }
    }
}

/// Whether an engine may become available that could still serve the request: one is listed and has not
/// failed it, although none accepts requests now. After a complete power loss, engines are back within two
/// seconds and known shortly after; without this wait, refused callers retried and were refused again.
fn may_await_engine(job: &Job, search: &TurnSearch) -> bool {
    let most = Millis(job.route.objective_ms * AWAIT);
    let listed = job.candidates();
    job.trail.age() < most && listed.iter().any(|u| !search.is_excluded(&u.instance))
}

/// Progress of a request.
#[derive(Default)]
pub(super) struct Progress {
    search: TurnSearch,
    sent: u32,
    ran: bool,
    reason: Option<&'static str>,
    retry: Option<Millis>,
}

impl Progress {
    /// Records that all engines have asked for no requests during `left`.
    fn rests(&mut self, left: Millis) {
        self.reason = Some(RESTING);
        self.retry = Some(left);
    }

    fn refused(&mut self, reason: &'static str, retry: Millis) {
        self.reason = Some(reason);
        self.retry = Some(self.retry.map_or(retry, |r| r.min(retry)));
    }
}

/// A response, and the guard that counts its request as in progress.
pub(super) struct Answered {
    pub(super) response: Response,
    pub(super) under_way: UnderWay,
}

/// Result of an attempt at an engine.
enum Ran {
    /// Response to forward.
    Answer(Box<Answered>),
    /// The request is not finished: another engine may be asked.
    Again,
    /// No further attempt may follow, for this reason.
    Over(&'static str),
}

async fn ask(job: &Job, upstream: &Upstream, place: bool, stays: bool) -> Result<Turn, AgentLost> {
    let from = job.shared.timer.now();
    let model = job.attributes.model.clone();
    let adapter = model.as_ref().and_then(|m| m.adapter.clone());
    let turn = side::ask(
        &job.shared,
        upstream,
        TurnAsk {
            request: job.id().to_owned(),
            base: model.map(|m| m.base).unwrap_or_default(),
            version: version(job).unwrap_or_default(),
            adapter,
            tokens: job.attributes.prompt_tokens,
            priority: job.route.priority,
            objective_ms: job.route.objective_ms,
            due_ms: Millis(job.route.objective_ms).since(job.trail.age()).0,
            patience_ms: patience(job).0,
            stays,
            trial: job.trial(),
        },
        place,
    )
    .await;
    let waited = job.shared.timer.now().since(from);
    job.shared.meters.turn.observe(waited.as_secs());
    job.trail.waited(waited);
    turn
}

/// Latest declared version of the requested adapter, if any.
fn version(job: &Job) -> Option<u64> {
    version_in(job, &job.shared.catalog.borrow())
}

fn version_in(job: &Job, catalog: &Catalog) -> Option<u64> {
    let model = job.attributes.model.as_ref()?;
    let adapter = model.adapter.as_ref()?;
    let name = format!("{}/{adapter}", model.base);
    catalog.version(&name)
}

/// Time for which the caller still waits for the first event.
fn patience(job: &Job) -> Millis {
    let most = Millis(job.route.objective_ms * PATIENCE);
    let most = most.max(LEAST_PATIENCE);
    most.since(job.trail.age()).min(job.left())
}

fn choose(job: &Job, search: &TurnSearch) -> Option<(Upstream, AdapterState)> {
    let now = job.shared.timer.now();
    let catalog = job.shared.catalog.borrow();
    let open = |u: &&Upstream| search.is_candidate(&u.instance);
    let there = |u: &&Upstream| job.shared.table.with(&u.instance, |r| !r.is_out(now));
    let candidates = job.candidates_in(&catalog).filter(open).filter(there);
    let candidates = without_exhausted(job, candidates.collect(), now);
    let oldest = version_in(job, &catalog).unwrap_or_default();
    let model = job.attributes.model.as_ref();
    let adapter = model.and_then(|m| m.adapter.as_deref());
    let views: Vec<EngineView> = candidates
        .iter()
        .map(|u| view(job, u, adapter, oldest, now))
        .collect();
    let name = adapter.unwrap_or_default();
    let choice = EngineChoice::new(pumicecleat_policy::name_key(name));
    let at = choice.pick(&views)?;
    Some((candidates[at].clone(), views[at].adapter_state))
}

/// Excludes candidates whose agent is known to have no free slot under the rate limit, unless that excludes
/// all of them. A rate-limited engine receives few requests and therefore looks idle, so it would be
/// preferred to a busier engine that can serve the request after a wait.
fn without_exhausted<'a>(
    job: &Job,
    candidates: Vec<&'a Upstream>,
    now: Millis,
) -> Vec<&'a Upstream> {
    let limits = job.shared.limits.borrow();
    let has_slot = |u: &&Upstream| !limits.is_exhausted(&u.instance, now);
    if !candidates.iter().any(has_slot) {
        return candidates;
    }
    candidates.into_iter().filter(has_slot).collect()
}

/// State of an engine for a request that needs its adapter at `min_version` or newer.
fn view(
    job: &Job,
    upstream: &Upstream,
    adapter: Option<&str>,
    oldest: u64,
    now: Millis,
) -> EngineView {
    job.shared.table.with(&upstream.instance, |r| {
        let stale = r.fresh(now).is_none();
        let asked: u64 = r.asking.iter().map(|a| u64::from(a.tokens)).sum();
        let figures = r.figures.as_ref().map(|f| &f.0);
        let holds = |name: &str| {
            figures.is_some_and(|f| f.held.iter().any(|h| h.0 == name && h.1 >= oldest))
        };
        let keeps = |name: &str| r.kept.names.iter().any(|k| k == name);
        let taken = r.asking.iter().filter(|a| a.place).count();
        let taken = u32::try_from(taken).unwrap_or(u32::MAX);
        let loads = |name: &str| figures.is_some_and(|f| f.loading.iter().any(|l| l == name));
        EngineView {
            key: pumicecleat_policy::name_key(&upstream.instance),
            adapter_state: match adapter {
                Some(name) if holds(name) => AdapterState::Loaded,
                Some(name) if loads(name) => AdapterState::Loading,
                Some(name) if keeps(name) => AdapterState::Cached,
                Some(_) => AdapterState::Absent,
                None => AdapterState::Loaded,
            },
            available_slots: figures.map_or(0, |f| f.spare.saturating_sub(taken)),
            unread_tokens: figures.map_or(0, |f| f.unread) + asked,
            prompt_tokens: job.attributes.prompt_tokens,
            traits: figures.map(|f| f.traits).unwrap_or_default(),
            running: figures.map_or(0, |f| f.running),
            ready_in_ms: figures.and_then(|f| f.ready_ms).unwrap_or_default(),
            stale,
            remote: upstream.centre != job.shared.centre,
            failure_penalty_ms: if r.slots.has_recent_failure(now) {
                2_000
            } else {
                0
            },
        }
    })
}

async fn run(job: &mut Job, turn: &HadTurn, progress: &mut Progress) -> Ran {
    let instance = turn.upstream.instance.clone();
    let under_way = job.shared.table.enter(&instance, Some(job.id()));
    if !job.is_ready(&instance) {
        progress.search.exclude(&instance);
        return Ran::Again;
    }
    if !job.is_clear() {
        return Ran::Again;
    }
    if progress.sent > 0 && !job.shared.may_repeat(&job.service) {
        return Ran::Over("repeat_bound");
    }
    progress.sent += 1;
    let version = version(job).max(turn.version);
    let attempt = job.send(&turn.upstream, version, job.left_span()).await;
    progress.search.exclude(&instance);
    follow(job, turn, attempt, under_way, progress)
}

/// Determines how to continue after an attempt.
fn follow(
    job: &Job,
    turn: &HadTurn,
    attempt: Attempt,
    under_way: UnderWay,
    progress: &mut Progress,
) -> Ran {
    let again = job.route.retry != RetryMode::Never && progress.sent < job.route.max_attempts;
    match attempt {
        Attempt::Answer(response) => {
            if response.status() >= 500 {
                fail(job, &turn.upstream);
                if again {
                    job.trail.lost("read answer", true, true, "engine failed");
                    progress.ran = true;
                    return Ran::Again;
                }
            }
            Ran::Answer(Box::new(Answered {
                response,
                under_way,
            }))
        }
        Attempt::NotRun(heard) => {
            job.trail.lost("refused by engine", false, true, "");
            let retry = match heard.retry_after {
                Some(RetryAfter::DelayMs(ms)) => Millis(ms),
                _ => RETRY,
            };
            progress.refused("engine_refused", retry);
            Ran::Again
        }
        Attempt::NotSent(e) => {
            progress.sent -= 1;
            fail(job, &turn.upstream);
            job.trail.lost("send", false, true, &e);
            progress.refused("not_sent", RETRY);
            Ran::Again
        }
        Attempt::Lost(e) => {
            progress.ran = true;
            fail(job, &turn.upstream);
            job.trail.lost("await answer", true, again, &e);
            if again {
                Ran::Again
            } else {
                Ran::Over("no_answer")
            }
        }
        Attempt::Late => {
            progress.ran = true;
            fail(job, &turn.upstream);
            job.trail.lost("await answer", true, false, "deadline");
            Ran::Over("deadline")
        }
    }
}

fn fail(job: &Job, upstream: &Upstream) {
    let now = job.shared.timer.now();
    job.shared
        .table
        .with(&upstream.instance, |r| r.slots.record_failure(now));
}

/// Final response if no engine provided one.
fn give_up(job: &Job, progress: &Progress, reason: &'static str) -> Reply {
    job.give_permit_back();
    if progress.ran {
        let status = if job.left().0 < LEAST_LEFT { 504 } else { 502 };
        return unsettled(&job.trail, status, reason);
    }
    let reason = progress.reason.unwrap_or(reason);
    let retry = progress.retry.unwrap_or(RETRY);
    Refusal::new(reason, retry).reply(&job.trail)
}
