//! State shared by the tasks of a side.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pumicecleat_config::model::PoolKind;
use pumicecleat_net::{Client, Timer, Turns};
use pumicecleat_ops::{Drain, Log, Readiness, events, field};
use pumicecleat_types::{BaseId, Millis, PoolId, Reason, VmId};
use pumicecleat_upstream::{Engine, Service};

use crate::SideSettings;
use crate::config::Configuration;
use crate::dispatch::Dispatcher;
use crate::entries::Entries;
use crate::keys::Keys;
use crate::lengths::AnswerLengths;
use crate::metrics::SideMetrics;
use crate::report::Reporters;

/// Readiness condition: the configuration in force declares the pool.
pub(crate) const CONFIG_CONDITION: &str = "configuration";
/// Readiness condition: the upstream answers.
pub(crate) const UPSTREAM_CONDITION: &str = "upstream";
/// Readiness condition: this side is not leaving.
pub(crate) const STAYING_CONDITION: &str = "staying";

/// State of one side.
pub(crate) struct State {
    pub(crate) settings: SideSettings,
    pub(crate) address: String,
    /// Start time of this process in milliseconds since the Unix epoch; also the fencing number of
    /// its orders.
    pub(crate) incarnation: u64,
    pub(crate) timer: Timer,
    /// Schedules the pieces of streams under way behind new attempts and first pieces.
    pub(crate) turns: Turns,
    pub(crate) client: Client,
    pub(crate) log: Log,
    pub(crate) metrics: SideMetrics,
    pub(crate) readiness: Readiness,
    pub(crate) drain: Drain,
    pub(crate) config: Configuration,
    pub(crate) entries: Entries,
    pub(crate) reporters: Reporters,
    pub(crate) answer_lengths: AnswerLengths,
    pub(crate) leaving: Cell<bool>,
    pub(crate) healthy: Cell<bool>,
    pub(crate) backend: RefCell<Option<Backend>>,
}

/// Request queue and upstream, set once the declaration of the pool is known.
#[derive(Clone)]
pub(crate) struct Backend {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) upstream: Upstream,
}

/// The upstream, by kind.
#[derive(Clone)]
pub(crate) enum Upstream {
    /// Model engine.
    Model(Rc<dyn Engine>),
    /// Plain service, with the idempotency keys of its calls.
    Service(Rc<dyn Service>, Keys),
}

impl State {
    pub(crate) fn vm(&self) -> &VmId {
        &self.settings.common.vm
    }

    pub(crate) fn pool(&self) -> &PoolId {
        &self.settings.pool
    }

    pub(crate) fn backend(&self) -> Option<Backend> {
        self.backend.borrow().clone()
    }

    /// Whether new work is accepted.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.leaving.get() && self.healthy.get()
    }

    /// Base model of the pool; `None` if the pool is not declared, or is one of plain services.
    pub(crate) fn base_model(&self) -> Option<BaseId> {
        match self.config.pool(self.pool())?.kind {
            PoolKind::Model { base, .. } => Some(base),
            PoolKind::Service { .. } => None,
        }
    }

    /// Stops taking new work; requests under way continue.
    pub(crate) fn leave(&self, source: &str) {
        if self.leaving.replace(true) {
            return;
        }
        let fields = [field("vm", self.vm()), field("source", source)];
        self.log.emit(&events::VM_LEAVING, &fields);
        self.readiness.set_unmet(STAYING_CONDITION, source);
        if let Some(backend) = self.backend() {
            backend.dispatcher.close(Reason::Leaving);
        }
        self.request_reports();
    }
}

/// Time since the Unix epoch by this VM's clock.
pub(crate) fn unix_time() -> Millis {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let ms = since_epoch.map_or(0, |s| s.as_millis());
    Millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
