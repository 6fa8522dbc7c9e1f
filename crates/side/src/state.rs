//! What the parts of one side share.

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

/// Condition: a configuration is in force that declares the pool.
pub(crate) const CONFIG_CONDITION: &str = "configuration";
/// Condition: the upstream answers.
pub(crate) const UPSTREAM_CONDITION: &str = "upstream";
/// Condition: this process is not stopping.
pub(crate) const STAYING_CONDITION: &str = "staying";

/// One side.
pub(crate) struct State {
    pub(crate) settings: SideSettings,
    pub(crate) address: String,
    /// Start of this process, milliseconds since 1970; also the fencing number of its orders.
    pub(crate) incarnation: u64,
    pub(crate) timer: Timer,
    /// For pieces of streams under way, which let new attempts and first pieces go before.
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

/// What a side works with once it knows its pool.
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
    /// Plain service, with the keys of its calls.
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

    /// Whether new work is taken.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.leaving.get() && self.healthy.get()
    }

    /// Base model of the pool.
    pub(crate) fn base_model(&self) -> Option<BaseId> {
        match self.config.pool(self.pool())?.kind {
            PoolKind::Model { base, .. } => Some(base),
            PoolKind::Service { .. } => None,
        }
    }

    /// Takes no new work from now on; what is under way goes on.
    pub(crate) fn leave(&self, source: &str) {
        if self.leaving.replace(true) {
            return;
        }
        let fields = [field("vm", self.vm()), field("source", source)];
        self.log.emit(&events::VM_LEAVING, &fields);
        self.readiness.fail(STAYING_CONDITION, source);
        if let Some(work) = self.backend() {
            work.dispatcher.close(Reason::Leaving);
        }
        self.request_reports();
    }
}

/// Milliseconds since 1970 by this VM's clock.
pub(crate) fn unix_time() -> Millis {
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let ms = since.map_or(0, |s| s.as_millis());
    Millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
