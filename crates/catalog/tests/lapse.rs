//! Guards against removing a live upstream, or keeping a dead one, whose entry is missing around an outage of
//! the list.

use pumicecleat_catalog::{Catalog, Change, Standing, Upstream};
use pumicecleat_types::{Millis, SoftwareVersion};

/// End of the outage of the list.
const RECOVERY: Millis = Millis(10_000);

struct Case {
    name: &'static str,
    /// Instances that write entries after the entry of `x` was removed, in order.
    writes: &'static [&'static str],
    /// Time of the check after the end of the outage, ms.
    after_ms: u64,
    is_kept: bool,
}

const CASES: [Case; 7] = [
    Case {
        name: "kept for a while, as it may return",
        writes: &[],
        after_ms: 2_200,
        is_kept: true,
    },
    Case {
        name: "removed afterwards",
        writes: &[],
        after_ms: 2_400,
        is_kept: false,
    },
    Case {
        name: "other upstreams return first",
        writes: &["a", "b", "c", "d", "a", "b", "c", "d"],
        after_ms: 0,
        is_kept: true,
    },
    Case {
        name: "repeated writes of another upstream show that the list accepted writes",
        writes: &["a", "b", "a", "b", "a"],
        after_ms: 0,
        is_kept: false,
    },
    Case {
        name: "returned",
        writes: &["a", "x", "a", "a", "a"],
        after_ms: 5_000,
        is_kept: true,
    },
    Case {
        name: "returned after all others",
        writes: &["a", "a", "x"],
        after_ms: 5_000,
        is_kept: true,
    },
    Case {
        name: "stays removed after repeated writes of another upstream",
        writes: &["a", "a", "a", "b"],
        after_ms: 100,
        is_kept: false,
    },
];

fn entry(instance: &str) -> Change {
    Change::Upstream(Upstream {
        instance: instance.to_owned(),
        service: "chat".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        centre: "a".into(),
        slots: 6,
        software: SoftwareVersion::default(),
        standing: Standing::Ready,
        born: None,
        sequence: None,
    })
}

#[test]
fn lapsed_upstream_is_kept_while_it_may_return() {
    for case in &CASES {
        let mut catalog = Catalog::default();
        for instance in ["a", "b", "c", "d", "x"] {
            catalog.apply(entry(instance), Millis(0));
        }
        catalog.note_list_recovery(RECOVERY);
        let instance = "x".to_owned();
        catalog.apply(Change::Gone { instance }, RECOVERY);
        for writer in case.writes {
            catalog.apply(entry(writer), RECOVERY);
        }
        catalog.expire(RECOVERY + Millis(case.after_ms));
        let is_kept = catalog.upstream("x").is_some();
        assert_eq!(is_kept, case.is_kept, "{}", case.name);
    }
}

/// Guards against a relay that passes on the removal of an entry and not its return, because its own list is the same
/// before and after: processes that rely on it would remove the upstream.
#[test]
fn the_return_of_a_lapsed_entry_counts_as_a_change() {
    let mut catalog = Catalog::default();
    catalog.apply(entry("x"), Millis(0));
    catalog.note_list_recovery(RECOVERY);
    let instance = "x".to_owned();
    catalog.apply(Change::Gone { instance }, RECOVERY);
    assert!(catalog.apply(entry("x"), RECOVERY).is_change());
    assert!(!catalog.apply(entry("x"), RECOVERY).is_change());
}

/// Guards against a relay that keeps a changed entry to itself.
#[test]
fn an_entry_that_says_something_else_counts_as_a_change() {
    let mut catalog = Catalog::default();
    catalog.apply(entry("x"), Millis(0));
    let Change::Upstream(mut moved) = entry("x") else {
        return;
    };
    moved.slots = 12;
    assert!(
        catalog
            .apply(Change::Upstream(moved.clone()), Millis(1))
            .is_change()
    );
    moved.sequence = Some(7);
    assert!(
        !catalog
            .apply(Change::Upstream(moved), Millis(2))
            .is_change()
    );
}
