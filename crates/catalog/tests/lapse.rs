//! How long an upstream stays whose entry is missing around an outage of the list.

use pumicecleat_catalog::{Catalog, Change, Standing, Upstream};
use pumicecleat_types::Millis;

/// Time of the list's return.
const BACK: Millis = Millis(10_000);

struct Case {
    name: &'static str,
    /// Instances that write their entries after the one of `x` is missing, in order.
    writes: &'static [&'static str],
    /// Time after the return at which is looked, ms.
    after: u64,
    stays: bool,
}

const CASES: [Case; 7] = [
    Case {
        name: "it may come back for a while",
        writes: &[],
        after: 2_200,
        stays: true,
    },
    Case {
        name: "and is gone then",
        writes: &[],
        after: 2_400,
        stays: false,
    },
    Case {
        name: "others come back before it",
        writes: &["a", "b", "c", "d", "a", "b", "c", "d"],
        after: 0,
        stays: true,
    },
    Case {
        name: "one that writes again and again shows that the list took entries",
        writes: &["a", "b", "a", "b", "a"],
        after: 0,
        stays: false,
    },
    Case {
        name: "it came back itself",
        writes: &["a", "x", "a", "a", "a"],
        after: 5_000,
        stays: true,
    },
    Case {
        name: "it came back last of all",
        writes: &["a", "a", "x"],
        after: 5_000,
        stays: true,
    },
    Case {
        name: "it does not come back once it is gone for good",
        writes: &["a", "a", "a", "b"],
        after: 100,
        stays: false,
    },
];

fn entry(instance: &str) -> Change {
    Change::Upstream(Upstream {
        instance: instance.to_owned(),
        service: "chat".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        centre: "a".into(),
        slots: 6,
        standing: Standing::Ready,
        born: None,
        sequence: None,
    })
}

#[test]
fn a_lapsed_upstream_stays_as_long_as_it_may_come_back() {
    for case in &CASES {
        let mut catalog = Catalog::default();
        for instance in ["a", "b", "c", "d", "x"] {
            catalog.apply(entry(instance), Millis(0));
        }
        catalog.note_list_recovery(BACK);
        let instance = "x".to_owned();
        catalog.apply(Change::Gone { instance }, BACK);
        for writer in case.writes {
            catalog.apply(entry(writer), BACK);
        }
        catalog.expire(BACK + Millis(case.after));
        let stays = catalog.upstream("x").is_some();
        assert_eq!(stays, case.stays, "{}", case.name);
    }
}
