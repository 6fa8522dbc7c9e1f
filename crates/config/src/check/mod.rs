//! Checks: each item by itself, and its references to others.
//!
//! The same code checks a whole configuration and what a delta touches, so that both find the
//! same faults.

mod limit;
mod links;
mod value;

pub(crate) use links::Links;

use crate::fault::{Fault, Problem};
use crate::model::{Config, Item};

/// Faults of a whole configuration, in the order of its items.
#[must_use]
pub fn check(config: &Config) -> Vec<Fault> {
    let mut links = Links::default();
    for item in config.items() {
        links.add(&item);
    }
    check_items(config, &links, config.items())
}

/// Faults of some items of `config`.
pub(crate) fn check_items(
    config: &Config,
    links: &Links,
    items: impl Iterator<Item = Item>,
) -> Vec<Fault> {
    let mut report = Report::default();
    for item in items {
        report.path = item.key().to_string();
        value::check_item(&item, &mut report);
        links.check_item(config, &item, &mut report);
    }
    report.faults
}

/// Faults found so far, and the path of the item at hand.
#[derive(Default)]
struct Report {
    path: String,
    faults: Vec<Fault>,
}

impl Report {
    /// Adds a fault at a field of the item; an empty name means the item itself.
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
