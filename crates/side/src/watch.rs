//! Health checks of the upstream, and detection of engine restarts by adapters that are lost.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{BaseId, Lora, Millis, Reason};
use pumicecleat_upstream::{CallError, Engine};

use crate::state::{Backend, State, UPSTREAM_CONDITION, Upstream};

/// Delay between health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive failed checks after which the upstream counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;
/// Once the upstream is up, resident adapters are compared in one of this many successful checks.
const CHECKS_PER_COMPARISON: u32 = 2;
/// Consecutive comparisons with a LoRA missing after which the engine counts as restarted. One is
/// not enough, as an unload may be under way.
const RESTART_AFTER_LOSSES: u32 = 2;

/// Results of the checks so far.
#[derive(Debug, Default)]
struct WatchState {
    up: bool,
    /// Whether the upstream has been up since this side started.
    was_up: bool,
    /// Consecutive failed checks.
    failures: u32,
    /// Consecutive comparisons in which a LoRA was missing.
    losses: u32,
    /// Successful checks.
    checks: u32,
    /// Adapters for which an earlier side process may have left requests running.
    unaccounted: Vec<Lora>,
    /// When the engine's figures include all requests that ran at takeover.
    figures_settled_at: Millis,
}

/// Checks the upstream periodically; never returns.
pub(crate) async fn watch_upstream(state: Rc<State>, backend: Backend) {
    let mut watched = WatchState::default();
    loop {
        let health = match &backend.upstream {
            Upstream::Model(engine) => engine.health().await,
            Upstream::Service(service, _) => service.health().await,
        };
        match health {
            Ok(()) => state.check_passed(&backend, &mut watched).await,
            Err(e) => state.check_failed(&backend, &mut watched, &e),
        }
        state.timer.sleep(CHECK_INTERVAL).await;
    }
}

impl State {
    async fn check_passed(&self, backend: &Backend, watched: &mut WatchState) {
        watched.failures = 0;
        watched.checks += 1;
        if let Upstream::Model(engine) = &backend.upstream {
            let comparison = self
                .compare_resident(backend, engine.as_ref(), watched)
                .await;
            if comparison.is_err() {
                return;
            }
        }
        if !watched.up {
            watched.up = true;
            watched.was_up = true;
            self.set_healthy(backend, true);
        }
    }

    fn check_failed(&self, backend: &Backend, watched: &mut WatchState, error: &CallError) {
        watched.failures += 1;
        if watched.up && watched.failures >= DOWN_AFTER_FAILURES {
            watched.up = false;
            let upstream = &self.settings.upstream;
            let fields = [
                field("upstream", upstream),
                field("step", "health"),
                field("error", error),
            ];
            self.log.emit(&events::UPSTREAM_DOWN, &fields);
            self.set_healthy(backend, false);
        }
    }

    fn set_healthy(&self, backend: &Backend, healthy: bool) {
        self.healthy.set(healthy);
        if healthy {
            let fields = [
                field("upstream", &self.settings.upstream),
                field("resident", backend.dispatcher.resident().len()),
                field("running", backend.dispatcher.figures().running),
            ];
            self.log.emit(&events::UPSTREAM_UP, &fields);
            self.readiness.set_met(UPSTREAM_CONDITION);
            if !self.leaving.get() {
                backend.dispatcher.reopen();
            }
        } else {
            self.readiness
                .set_unmet(UPSTREAM_CONDITION, "it does not answer");
            backend.dispatcher.close(Reason::UpstreamDown);
        }
        self.request_reports();
    }

    /// Compares the adapters that the engine lists with those that this side takes for resident.
    async fn compare_resident(
        &self,
        backend: &Backend,
        engine: &dyn Engine,
        watched: &mut WatchState,
    ) -> Result<(), CallError> {
        if watched.up && !watched.checks.is_multiple_of(CHECKS_PER_COMPARISON) {
            return Ok(());
        }
        let expected = backend.dispatcher.resident();
        let listed = engine.resident().await?;
        if !watched.was_up {
            return self.take_over(backend, engine, &listed, watched).await;
        }
        self.release_finished(backend, engine, watched).await?;
        let listed: BTreeSet<&str> = listed.iter().map(String::as_str).collect();
        let after = backend.dispatcher.resident();
        // An adapter is lost only if it was expected both before and after the query.
        let lost = expected
            .iter()
            .any(|l| after.contains(l) && !listed.contains(l.as_str()));
        watched.losses = if lost { watched.losses + 1 } else { 0 };
        if watched.losses >= RESTART_AFTER_LOSSES {
            watched.losses = 0;
            self.handle_restart(backend, &listed);
        }
        Ok(())
    }

    /// Takes over the engine at the first check. Requests that run there were not sent by this
    /// side, and their adapters stay pinned. As the engine's figures lag, any resident adapter may
    /// be in use until they have caught up, so all of them are pinned.
    async fn take_over(
        &self,
        backend: &Backend,
        engine: &dyn Engine,
        listed: &[String],
        watched: &mut WatchState,
    ) -> Result<(), CallError> {
        let metrics = engine.metrics().await?;
        for name in &metrics.loras {
            self.log
                .emit(&events::LORA_UNACCOUNTED, &[field("lora", name)]);
        }
        let resident = self.parse_names(listed.iter().map(String::as_str));
        backend.dispatcher.reset(&resident, &resident);
        watched.unaccounted = resident;
        let lag = self.settings.metrics_lag.0;
        let lag = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        watched.figures_settled_at = self.timer.now() + Millis(lag);
        Ok(())
    }

    /// Unpins the adapters whose requests of an earlier side process have ended.
    async fn release_finished(
        &self,
        backend: &Backend,
        engine: &dyn Engine,
        watched: &mut WatchState,
    ) -> Result<(), CallError> {
        if watched.unaccounted.is_empty() || self.timer.now() < watched.figures_settled_at {
            return Ok(());
        }
        let metrics = engine.metrics().await?;
        let is_running = |l: &Lora| metrics.loras.contains(&l.engine_name());
        let (in_use, unused): (Vec<_>, Vec<_>) =
            watched.unaccounted.drain(..).partition(is_running);
        watched.unaccounted = in_use;
        for lora in &unused {
            backend.dispatcher.unaccounted_finished(lora);
        }
        Ok(())
    }

    fn handle_restart(&self, backend: &Backend, listed: &BTreeSet<&str>) {
        let upstream = &self.settings.upstream;
        self.log
            .emit(&events::UPSTREAM_RESTARTED, &[field("upstream", upstream)]);
        let resident = self.parse_names(listed.iter().copied());
        backend.dispatcher.reset(&resident, &[]);
        self.request_reports();
    }

    /// Adapters of engine names. Other names, which this system did not load, are skipped.
    fn parse_names<'a>(&self, names: impl Iterator<Item = &'a str>) -> Vec<Lora> {
        let Some(base) = self.base_model() else {
            return Vec::new();
        };
        names.filter_map(|n| parse_name(&base, n)).collect()
    }
}

/// Parses an engine name `adapter@version`.
fn parse_name(base: &BaseId, name: &str) -> Option<Lora> {
    let (adapter, version) = name.split_once('@')?;
    Some(Lora::new(base.as_str(), adapter, version))
}
