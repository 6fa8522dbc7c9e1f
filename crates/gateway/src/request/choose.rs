//! Choice of the engine that a request asks for a turn.

use pumicecleat_catalog::{Catalog, Upstream};
use pumicecleat_policy::{AdapterState, EngineChoice, EngineNeeds, EngineView, TurnSearch};
use pumicecleat_types::Millis;

use super::job::Job;
use super::shortlist::Shortlist;

/// Latest declared version of the requested adapter, if any.
pub(super) fn adapter_version(job: &Job) -> Option<u64> {
    adapter_version_in(job, &job.shared.catalog.borrow())
}

fn adapter_version_in(job: &Job, catalog: &Catalog) -> Option<u64> {
    let model = job.attributes.model.as_ref()?;
    let adapter = model.adapter.as_ref()?;
    let name = format!("{}/{adapter}", model.base);
    catalog.version(&name)
}

/// Chooses the engine that is asked next for a turn, with the state of the requested adapter there.
pub(super) fn choose_engine(
    job: &Job,
    search: &TurnSearch,
    shortlist: &Shortlist,
) -> Option<(Upstream, AdapterState)> {
    let now = job.shared.timer.now();
    let catalog = job.shared.catalog.borrow();
    let is_candidate =
        |u: &&Upstream| shortlist.contains(&u.instance) && search.is_candidate(&u.instance);
    let is_reachable = |u: &&Upstream| {
        job.shared
            .table
            .with(&u.instance, |r| !r.is_unavailable(now))
    };
    let candidates = job
        .candidates_in(&catalog)
        .filter(is_candidate)
        .filter(is_reachable);
    let candidates = without_exhausted(job, candidates.collect(), now);
    let min_version = adapter_version_in(job, &catalog).unwrap_or_default();
    let model = job.attributes.model.as_ref();
    let adapter = model.and_then(|m| m.adapter.as_deref());
    let views: Vec<EngineView> = candidates
        .iter()
        .map(|u| engine_view(job, u, adapter, min_version, now))
        .collect();
    let name = adapter.unwrap_or_default();
    let choice = EngineChoice::new(pumicecleat_policy::name_key(name));
    let index = choice.pick(&views)?;
    Some((candidates[index].clone(), views[index].adapter_state))
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
fn engine_view(
    job: &Job,
    upstream: &Upstream,
    adapter: Option<&str>,
    min_version: u64,
    now: Millis,
) -> EngineView {
    let needs = EngineNeeds {
        adapter,
        min_version,
        prompt_tokens: job.attributes.prompt_tokens,
    };
    job.shared.table.with(&upstream.instance, |r| {
        let pending_tokens: u64 = r.unreported_asks.iter().map(|a| u64::from(a.tokens)).sum();
        let reserved_slots = r.unreported_asks.iter().filter(|a| a.needs_slot).count();
        let reserved_slots = u32::try_from(reserved_slots).unwrap_or(u32::MAX);
        let figures = r.figures.as_ref().map(|f| &f.0);
        let view = needs.view(&upstream.instance, figures, &r.kept_adapters.names);
        EngineView {
            available_slots: view.available_slots.saturating_sub(reserved_slots),
            unread_tokens: view.unread_tokens + pending_tokens,
            stale: r.fresh_figures(now).is_none(),
            remote: upstream.centre != job.shared.centre,
            failure_penalty_ms: if r.stats.has_recent_failure(now) {
                2_000
            } else {
                0
            },
            ..view
        }
    })
}
