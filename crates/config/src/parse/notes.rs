//! Places of fields and the faults met so far.

use std::collections::{BTreeMap, BTreeSet};

use crate::fault::{Fault, Place, Problem};

/// Places of fields and faults met so far.
#[derive(Default)]
pub(super) struct Notes {
    pub(super) places: BTreeMap<String, Place>,
    faulty: BTreeSet<String>,
    pub(super) faults: Vec<Fault>,
}

impl Notes {
    /// Place of a field, or of the table nearest above it.
    pub(super) fn place(&self, field: &str) -> Option<Place> {
        let mut path = field;
        loop {
            if let Some(place) = self.places.get(path) {
                return Some(place.clone());
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    /// Whether a fault found by the checks only follows from one known already.
    pub(super) fn explain(&self, fault: &Fault) -> bool {
        let field = fault.field.as_str();
        let below = |path: &String| path.starts_with(field);
        let next = self.faulty.range(field.to_owned()..).next();
        match fault.problem {
            Problem::Empty => next.is_some_and(below),
            _ => self.faulty.contains(field),
        }
    }

    /// Notes a field's place, or that it had one.
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
