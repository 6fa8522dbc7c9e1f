//! Views of the scheduler's state, for reports and the dump.

use pumicecleat_policy::LoraIx;
use pumicecleat_types::LoadFigures;
use serde::Serialize;

use super::Dispatcher;

/// State of the queue, for the dump.
#[derive(Debug, Serialize)]
pub(crate) struct DispatchDump {
    load: LoadFigures,
    resident: Vec<String>,
    loading: Option<String>,
    waiting: usize,
}

impl Dispatcher {
    /// Load figures of the queue and the engine.
    pub(crate) fn figures(&self) -> LoadFigures {
        self.state.scheduler.borrow().figures()
    }

    /// Engine names of the resident adapters, sorted.
    pub(crate) fn resident(&self) -> Vec<String> {
        let resident = self.state.scheduler.borrow().resident();
        let names = self.state.names.borrow();
        let mut all: Vec<String> = resident
            .iter()
            .map(|l| names.lora(*l).engine_name())
            .collect();
        all.sort();
        all
    }

    /// Engine name of the adapter being loaded.
    pub(crate) fn loading(&self) -> Option<String> {
        let lora = self.state.scheduler.borrow().loading()?;
        Some(self.state.names.borrow().lora(lora).engine_name())
    }

    /// Engine name of the adapter at an index.
    pub(crate) fn name_of(&self, lora: LoraIx) -> String {
        self.state.names.borrow().lora(lora).engine_name()
    }

    /// State of the queue, for the dump.
    pub(crate) fn dump(&self) -> DispatchDump {
        DispatchDump {
            load: self.figures(),
            resident: self.resident(),
            loading: self.loading(),
            waiting: self.state.waiting.borrow().len(),
        }
    }
}
