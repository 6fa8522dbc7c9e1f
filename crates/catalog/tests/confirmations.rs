//! Which reads confirm a configuration, and as of when.

use pumicecleat_catalog::Confirmations;
use pumicecleat_types::{BootTime, Millis, Position};

#[derive(Clone, Copy, Debug)]
enum Step {
    /// This process has read up to an offset.
    Known(u64),
    /// A read as of a time found that the records end at an offset.
    End(u64, u64),
}

use Step::{End, Known};

struct Case {
    steps: &'static [Step],
    /// Age at 10,000 ms.
    age: Option<u64>,
}

const CASES: [Case; 9] = [
    // Nothing is confirmed before the first read.
    Case {
        steps: &[],
        age: None,
    },
    Case {
        steps: &[End(3, 9_000)],
        age: None,
    },
    Case {
        steps: &[Known(3), End(3, 9_000)],
        age: Some(1_000),
    },
    // A read that starts earlier and ends later makes nothing older.
    Case {
        steps: &[Known(3), End(3, 9_000), End(3, 8_000)],
        age: Some(1_000),
    },
    // Records that this process does not know yet are no confirmation.
    Case {
        steps: &[Known(3), End(3, 7_000), End(4, 9_000)],
        age: Some(3_000),
    },
    Case {
        steps: &[Known(3), End(4, 9_000), Known(4)],
        age: Some(1_000),
    },
    Case {
        steps: &[Known(3), End(5, 9_000), Known(4)],
        age: None,
    },
    // A later end does not hide that an earlier read is confirmed.
    Case {
        steps: &[Known(3), End(4, 8_000), End(5, 9_000), Known(5)],
        age: Some(1_000),
    },
    // A read that found fewer records than are known started before them.
    Case {
        steps: &[Known(5), End(4, 6_000)],
        age: Some(4_000),
    },
];

/// Guards against a configuration that counts as confirmed by a read which found newer records, or as of a time
/// at which the read had not started.
#[test]
fn a_read_confirms_what_was_known_at_its_start() {
    for (n, case) in CASES.iter().enumerate() {
        let confirmations = Confirmations::default();
        for step in case.steps {
            match *step {
                Known(offset) => confirmations.note_known(Position::at(offset)),
                End(offset, as_of) => confirmations.note_end(Position::at(offset), BootTime(as_of)),
            }
        }
        let age = confirmations.age(BootTime(10_000));
        assert_eq!(age, case.age.map(Millis), "case {n}");
    }
}
