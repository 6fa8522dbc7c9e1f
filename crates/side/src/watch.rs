//! Watch over the upstream: whether it answers, and whether an engine still holds what it held.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_ops::{events, field};
use pumicecleat_types::{BaseId, Lora, Millis, Reason};
use pumicecleat_upstream::{CallError, Engine};

use crate::state::{State, UPSTREAM, Upstream, Work};

/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(250);
/// Looks that must fail in a row before the upstream counts as down.
const FAILURES: u32 = 2;
/// Looks between two comparisons of what is resident.
const COMPARE: u32 = 2;
/// Looks in a row that must lack a LoRA before the engine counts as restarted: an unload may be
/// under way.
const LOSSES: u32 = 2;

/// What the looks have shown.
#[derive(Debug, Default)]
struct WatchState {
    up: bool,
    seen: bool,
    failures: u32,
    losses: u32,
    looks: u32,
    /// What a predecessor of this side may have left running.
    unaccounted: Vec<Lora>,
    /// When the engine's figures show all that ran as this side took over.
    settled: Millis,
}

/// Watches the upstream; never ends.
pub(crate) async fn watch(state: Rc<State>, work: Work) {
    let mut watched = WatchState::default();
    loop {
        let health = match &work.upstream {
            Upstream::Model(engine) => engine.health().await,
            Upstream::Service(service, _) => service.health().await,
        };
        match health {
            Ok(()) => state.look(&work, &mut watched).await,
            Err(e) => state.miss(&work, &mut watched, &e),
        }
        state.timer.sleep(PAUSE).await;
    }
}

impl State {
    async fn look(&self, work: &Work, watched: &mut WatchState) {
        watched.failures = 0;
        watched.looks += 1;
        if let Upstream::Model(engine) = &work.upstream {
            let compared = self.compare(work, engine.as_ref(), watched).await;
            if compared.is_err() {
                return;
            }
        }
        if !watched.up {
            watched.up = true;
            watched.seen = true;
            self.set_healthy(work, true);
        }
    }

    fn miss(&self, work: &Work, watched: &mut WatchState, error: &CallError) {
        watched.failures += 1;
        if watched.up && watched.failures >= FAILURES {
            watched.up = false;
            let upstream = &self.settings.upstream;
            let fields = [
                field("upstream", upstream),
                field("step", "health"),
                field("error", error),
            ];
            self.log.emit(&events::UPSTREAM_DOWN, &fields);
            self.set_healthy(work, false);
        }
    }

    fn set_healthy(&self, work: &Work, healthy: bool) {
        self.healthy.set(healthy);
        if healthy {
            let fields = [
                field("upstream", &self.settings.upstream),
                field("resident", work.dispatcher.resident().len()),
                field("running", work.dispatcher.figures().running),
            ];
            self.log.emit(&events::UPSTREAM_UP, &fields);
            self.readiness.hold(UPSTREAM);
            if !self.leaving.get() {
                work.dispatcher.reopen();
            }
        } else {
            self.readiness.fail(UPSTREAM, "it does not answer");
            work.dispatcher.close(Reason::UpstreamDown);
        }
        self.reports_due();
    }

    /// Compares what the engine holds with what this side believes.
    async fn compare(
        &self,
        work: &Work,
        engine: &dyn Engine,
        watched: &mut WatchState,
    ) -> Result<(), CallError> {
        if watched.up && !watched.looks.is_multiple_of(COMPARE) {
            return Ok(());
        }
        let believed = work.dispatcher.resident();
        let shown = engine.resident().await?;
        if !watched.seen {
            return self.take_over(work, engine, &shown, watched).await;
        }
        self.release_ended(work, engine, watched).await?;
        let shown: BTreeSet<&str> = shown.iter().map(String::as_str).collect();
        let after = work.dispatcher.resident();
        // Only what was believed before and after the question can have been lost meanwhile.
        let lost = believed
            .iter()
            .any(|l| after.contains(l) && !shown.contains(l.as_str()));
        watched.losses = if lost { watched.losses + 1 } else { 0 };
        if watched.losses >= LOSSES {
            watched.losses = 0;
            self.restart(work, &shown);
        }
        Ok(())
    }

    /// A new side takes over an engine: what runs there is not its own and stays pinned. The
    /// engine's figures lag, so that all it holds may be in use until they have caught up.
    async fn take_over(
        &self,
        work: &Work,
        engine: &dyn Engine,
        shown: &[String],
        watched: &mut WatchState,
    ) -> Result<(), CallError> {
        let running = engine.running().await?;
        for name in &running.loras {
            self.log
                .emit(&events::LORA_UNACCOUNTED, &[field("lora", name)]);
        }
        let resident = self.loras(shown.iter().map(String::as_str));
        work.dispatcher.reset(&resident, &resident);
        watched.unaccounted = resident;
        let lag = self.settings.metrics_lag.0;
        let lag = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        watched.settled = self.timer.now() + Millis(lag);
        Ok(())
    }

    async fn release_ended(
        &self,
        work: &Work,
        engine: &dyn Engine,
        watched: &mut WatchState,
    ) -> Result<(), CallError> {
        if watched.unaccounted.is_empty() || self.timer.now() < watched.settled {
            return Ok(());
        }
        let running = engine.running().await?;
        let is_running = |l: &Lora| running.loras.contains(&l.engine_name());
        let (held, ended): (Vec<_>, Vec<_>) = watched.unaccounted.drain(..).partition(is_running);
        watched.unaccounted = held;
        for lora in &ended {
            work.dispatcher.unaccounted_finished(lora);
        }
        Ok(())
    }

    fn restart(&self, work: &Work, shown: &BTreeSet<&str>) {
        let upstream = &self.settings.upstream;
        self.log
            .emit(&events::UPSTREAM_RESTARTED, &[field("upstream", upstream)]);
        let resident = self.loras(shown.iter().copied());
        work.dispatcher.reset(&resident, &[]);
        self.reports_due();
    }

    /// Adapters of engine names; others, which this system did not load, are left out.
    fn loras<'a>(&self, names: impl Iterator<Item = &'a str>) -> Vec<Lora> {
        let Some(base) = self.base() else {
            return Vec::new();
        };
        names.filter_map(|n| scan_name(&base, n)).collect()
    }
}

/// LoRA of an engine name `adapter@version`.
fn scan_name(base: &BaseId, name: &str) -> Option<Lora> {
    let (adapter, version) = name.split_once('@')?;
    Some(Lora::new(base.as_str(), adapter, version))
}
