//! Whether a service has had one software version only, from what a process knows of the list.

use pumicecleat_catalog::{Catalog, Change, Standing, Upstream};
use pumicecleat_types::{BootTime, Millis};

fn entry(instance: &str, software: &str) -> Upstream {
    Upstream {
        instance: instance.to_owned(),
        service: "chat".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        centre: "a".into(),
        slots: 6,
        software: software.into(),
        standing: Standing::Ready,
        born: None,
        sequence: None,
    }
}

/// Something that a process learns, at a time in ms.
#[derive(Clone, Copy, Debug)]
enum Step {
    FirstStart,
    /// The whole list, with the software of its one upstream.
    State(&'static str),
    /// An entry of the upstream.
    Entry(&'static str),
    /// The same after the VM was suspended for some ms.
    Suspended(u64),
    Renewal,
}

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
    /// Time of the question, with a span of 10 s.
    at: u64,
    is_known: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing was read",
        steps: &[],
        at: 60_000,
        is_known: false,
    },
    Case {
        name: "read for as long as the span",
        steps: &[(1_000, Step::State("v1"))],
        at: 11_000,
        is_known: true,
    },
    Case {
        name: "read for less",
        steps: &[(1_000, Step::State("v1"))],
        at: 10_999,
        is_known: false,
    },
    Case {
        name: "read with the first start",
        steps: &[(0, Step::FirstStart), (100, Step::State("v1"))],
        at: 200,
        is_known: true,
    },
    Case {
        name: "read long after the first start",
        steps: &[(0, Step::FirstStart), (2_100, Step::State("v1"))],
        at: 2_200,
        is_known: false,
    },
    Case {
        name: "read with the first start, before which the VM was suspended",
        steps: &[
            (0, Step::FirstStart),
            (50, Step::Suspended(5_000)),
            (100, Step::State("v1")),
        ],
        at: 200,
        is_known: false,
    },
    Case {
        name: "read whole again after a short gap",
        steps: &[
            (0, Step::State("v1")),
            (20_000, Step::Entry("v1")),
            (20_400, Step::State("v1")),
        ],
        at: 20_500,
        is_known: true,
    },
    Case {
        name: "read whole again after a long gap",
        steps: &[
            (0, Step::State("v1")),
            (20_000, Step::Entry("v1")),
            (20_600, Step::State("v1")),
        ],
        at: 20_700,
        is_known: false,
    },
    Case {
        name: "read whole again after a short gap in which the VM was suspended",
        steps: &[
            (0, Step::State("v1")),
            (20_000, Step::Entry("v1")),
            (20_100, Step::Suspended(5_000)),
            (20_400, Step::State("v1")),
        ],
        at: 20_500,
        is_known: false,
    },
    Case {
        name: "the list came back from an older copy",
        steps: &[
            (0, Step::FirstStart),
            (0, Step::State("v1")),
            (20_000, Step::Renewal),
        ],
        at: 20_500,
        is_known: false,
    },
    Case {
        name: "another version a while ago",
        steps: &[
            (0, Step::FirstStart),
            (0, Step::State("v2")),
            (1_000, Step::Entry("v1")),
        ],
        at: 11_000,
        is_known: false,
    },
    Case {
        name: "another version before the span",
        steps: &[
            (0, Step::FirstStart),
            (0, Step::State("v2")),
            (1_000, Step::Entry("v1")),
        ],
        at: 11_001,
        is_known: true,
    },
];

#[test]
fn the_only_software_version_is_known_where_no_other_can_have_been_missed() {
    for case in CASES {
        let mut catalog = Catalog::default();
        let mut suspended = 0;
        for (at, step) in case.steps {
            let now = Millis(*at);
            let boot = BootTime(at + suspended);
            match step {
                Step::FirstStart => catalog.note_first_start(boot),
                Step::State(software) => {
                    catalog.note_list_read(boot);
                    catalog.replace(vec![entry("x", software)], now);
                }
                Step::Entry(software) => {
                    catalog.note_list_read(boot);
                    catalog.apply(Change::Upstream(entry("x", software)), now);
                }
                Step::Suspended(span) => suspended += span,
                Step::Renewal => catalog.note_store_renewal(now),
            }
        }
        let found = catalog.only_software(&"chat".into(), Millis(10_000), Millis(case.at));
        assert_eq!(found.is_some(), case.is_known, "{}", case.name);
    }
}
