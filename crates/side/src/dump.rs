//! Dump of the state of a side for debugging.

use std::rc::Rc;

use pumicecleat_ops::Dump;
use pumicecleat_types::{DataCentre, PoolId, RegionId, RequestId, VmId};
use serde::Serialize;

use crate::dispatch::DispatchDump;
use crate::keys::KeysDump;
use crate::state::{State, Upstream};

/// State of a side.
#[derive(Debug, Serialize)]
pub struct SideDump {
    program: &'static str,
    vm: VmId,
    centre: DataCentre,
    region: RegionId,
    pool: PoolId,
    address: String,
    upstream: String,
    incarnation: u64,
    uptime_ms: u64,
    revision: u64,
    healthy: bool,
    leaving: bool,
    entries: Vec<String>,
    open: Vec<RequestId>,
    queue: Option<DispatchDump>,
    keys: Option<KeysDump>,
}

/// Serves the dump on the admin listener.
pub(crate) struct Dumper(pub(crate) Rc<State>);

impl Dump for Dumper {
    fn dump(&self) -> serde_json::Value {
        // Serializing can't fail: the dump holds only strings, numbers and collections of them.
        serde_json::to_value(self.0.dump()).unwrap_or_default()
    }
}

impl State {
    pub(crate) fn dump(&self) -> SideDump {
        let common = &self.settings.common;
        let backend = self.backend();
        let keys = backend.as_ref().and_then(|b| match &b.upstream {
            Upstream::Service(_, keys) => Some(keys.dump()),
            Upstream::Model(_) => None,
        });
        SideDump {
            program: "side",
            vm: common.vm.clone(),
            centre: common.centre.clone(),
            region: common.region.clone(),
            pool: self.pool().clone(),
            address: self.address.clone(),
            upstream: self.settings.upstream.to_string(),
            incarnation: self.incarnation,
            uptime_ms: self.uptime().0,
            revision: self.config.revision(),
            healthy: self.healthy.get(),
            leaving: self.leaving.get(),
            entries: self.entries.all().into_iter().collect(),
            open: self.drain.in_flight(),
            queue: backend.map(|b| b.dispatcher.dump()),
            keys,
        }
    }
}
