//! What the queue tells of itself.

use pumicecleat_policy::LoraIx;
use pumicecleat_types::LoadFigures;
use serde::Serialize;

use super::Dispatcher;

/// State for people.
#[derive(Debug, Serialize)]
pub(crate) struct DispatchDump {
    load: LoadFigures,
    resident: Vec<String>,
    loading: Option<String>,
    waiting: usize,
}

impl Dispatcher {
    /// Load.
    pub(crate) fn figures(&self) -> LoadFigures {
        self.state.scheduler.borrow().figures()
    }

    /// Engine names of what is resident, in order.
    pub(crate) fn resident(&self) -> Vec<String> {
        let ready = self.state.scheduler.borrow().resident();
        let names = self.state.names.borrow();
        let mut all: Vec<String> = ready.iter().map(|l| names.of(*l).engine_name()).collect();
        all.sort();
        all
    }

    /// Engine name of what is being loaded.
    pub(crate) fn loading(&self) -> Option<String> {
        let lora = self.state.scheduler.borrow().loading()?;
        Some(self.state.names.borrow().of(lora).engine_name())
    }

    /// Engine name of an indexed adapter.
    pub(crate) fn name_of(&self, lora: LoraIx) -> String {
        self.state.names.borrow().of(lora).engine_name()
    }

    /// State for people.
    pub(crate) fn dump(&self) -> DispatchDump {
        DispatchDump {
            load: self.figures(),
            resident: self.resident(),
            loading: self.loading(),
            waiting: self.state.waiting.borrow().len(),
        }
    }
}
