//! Readiness: named conditions that must all be met.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::rc::Rc;

use serde::Serialize;

use crate::{Log, events, field};

/// Whether the process may receive requests. Logs each change; clones share the conditions.
#[derive(Clone, Debug)]
pub struct Readiness {
    conditions: Rc<RefCell<Conditions>>,
    log: Log,
}

/// Reason why each condition is not met, or `None` if it is.
type Conditions = BTreeMap<&'static str, Option<String>>;

/// A condition that is not met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnmetCondition {
    /// Name of the condition.
    pub condition: &'static str,
    /// Why it is not met.
    pub reason: String,
}

impl Readiness {
    /// Creates a readiness with `conditions`, none of which is met yet.
    #[must_use]
    pub fn new(conditions: &[&'static str], log: &Log) -> Self {
        let unmet = |name: &&'static str| (*name, Some("not met yet".to_owned()));
        let conditions: Conditions = conditions.iter().map(unmet).collect();
        Self {
            conditions: Rc::new(RefCell::new(conditions)),
            log: log.clone(),
        }
    }

    /// Marks `condition` as met.
    pub fn set_met(&self, condition: &'static str) {
        self.set(condition, None);
    }

    /// Marks `condition` as not met.
    pub fn set_unmet(&self, condition: &'static str, reason: &str) {
        self.set(condition, Some(reason.to_owned()));
    }

    /// Whether all conditions are met.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.conditions.borrow().values().all(Option::is_none)
    }

    /// Conditions that are not met.
    #[must_use]
    pub fn unmet(&self) -> Vec<UnmetCondition> {
        let conditions = self.conditions.borrow();
        conditions
            .iter()
            .filter_map(|(condition, reason)| {
                Some(UnmetCondition {
                    condition,
                    reason: reason.clone()?,
                })
            })
            .collect()
    }
}

impl Readiness {
    fn set(&self, condition: &'static str, reason: Option<String>) {
        let was_ready = self.is_ready();
        self.conditions.borrow_mut().insert(condition, reason);
        match (was_ready, self.is_ready()) {
            (false, true) => self.log.emit(&events::READY, &[]),
            (true, false) => self.log_unmet(),
            _ => {}
        }
    }

    fn log_unmet(&self) {
        let reasons: Vec<String> = self.unmet().iter().map(UnmetCondition::to_string).collect();
        let reasons = reasons.join("; ");
        self.log
            .emit(&events::NOT_READY, &[field("reasons", &reasons)]);
    }
}

impl Display for UnmetCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.condition, self.reason)
    }
}
