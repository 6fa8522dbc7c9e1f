//! Places of fields and the faults found so far.

use std::collections::{BTreeMap, BTreeSet};

use crate::fault::{Fault, Place, Problem};

/// Places of fields and the faults found so far.
#[derive(Default)]
pub(super) struct Diagnostics {
    pub(super) places: BTreeMap<String, Place>,
    faulty: BTreeSet<String>,
    pub(super) faults: Vec<Fault>,
}

impl Diagnostics {
    /// Returns the place of a field, or of the innermost enclosing table with a known place.
    pub(super) fn place(&self, field: &str) -> Option<Place> {
        let mut path = field;
        loop {
            if let Some(place) = self.places.get(path) {
                return Some(place.clone());
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    /// Whether a fault found by validation is only a consequence of a known one.
    pub(super) fn is_consequence(&self, fault: &Fault) -> bool {
        let field = fault.field.as_str();
        let below = |path: &String| path.starts_with(field);
        let next = self.faulty.range(field.to_owned()..).next();
        match fault.problem {
            Problem::Empty => next.is_some_and(below),
            _ => self.faulty.contains(field),
        }
    }

    /// Records the place of a declaration, or reports a duplicate.
    pub(super) fn declare(&mut self, path: &str, place: Place) {
        let Some(first) = self.places.get(path).cloned() else {
            self.places.insert(path.to_owned(), place);
            return;
        };
        self.fault(path, place, Problem::Duplicate { first });
    }

    pub(super) fn fault(&mut self, path: &str, place: Place, problem: Problem) {
        self.faulty.insert(path.to_owned());
        self.faults.push(Fault {
            place: Some(place),
            field: path.to_owned(),
            problem,
        });
    }
}
