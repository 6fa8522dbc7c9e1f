//! Validation of each item by itself and of its references to others.
//!
//! The same code checks a whole configuration and the items touched by a delta, so that both find
//! the same faults.

mod limit;
mod links;
mod value;

pub(crate) use links::References;

use crate::fault::{Fault, Problem};
use crate::model::{Config, Item};

/// Validates a whole configuration; returns its faults in the order of its items.
#[must_use]
pub fn check(config: &Config) -> Vec<Fault> {
    let mut references = References::default();
    for item in config.items() {
        references.add(&item);
    }
    check_items(config, &references, config.items())
}

/// Validates some items of `config`.
pub(crate) fn check_items(
    config: &Config,
    references: &References,
    items: impl Iterator<Item = Item>,
) -> Vec<Fault> {
    let mut report = Report::default();
    for item in items {
        report.path = item.key().to_string();
        value::check_item(&item, &mut report);
        references.check_item(config, &item, &mut report);
    }
    report.faults
}

/// Faults found so far, and the path of the current item.
#[derive(Default)]
struct Report {
    path: String,
    faults: Vec<Fault>,
}

impl Report {
    /// Adds a fault at a field of the current item, or at the item itself if `field` is empty.
    fn add(&mut self, field: &str, problem: Problem) {
        let field = match (self.path.as_str(), field) {
            (path, "") => path.to_owned(),
            (path, field) => format!("{path}.{field}"),
        };
        self.faults.push(Fault {
            place: None,
            field,
            problem,
        });
    }
}
