//! Homes of idempotency key parts: entries agree on them, and move on to the next home if one is
//! not ready.

use std::collections::BTreeMap;

use pumicecleat_policy::{
    AttemptOutcome, PoolIx, RouteQuery, Router, RouterOptions, UpstreamIx, UpstreamStatus,
    part_key, upstream_key,
};
use pumicecleat_types::{LoadFigures, Millis, Reason, VmId};

const POOL: PoolIx = PoolIx(0);
const PARTS: u32 = 256;

fn figures(wait_ms: u32) -> UpstreamStatus {
    let load = LoadFigures {
        max_batch_size: 8,
        step_us: 10_000,
        wait_ms,
        ..LoadFigures::default()
    };
    UpstreamStatus {
        load,
        leaving: false,
        healthy: true,
    }
}

/// Router of an entry that knows these VMs, in the given order.
fn entry(vms: &[u32]) -> Router {
    let mut router = Router::new_ext(RouterOptions::default());
    for (ix, vm) in (0..).map(UpstreamIx).zip(vms) {
        router.set_upstream_key(ix, upstream_key(&VmId::from(format!("vm-{vm}"))));
        router.report(ix, POOL, &figures(0), None, None, Millis(0));
    }
    router
}

fn query(tried: &[UpstreamIx]) -> RouteQuery<'_> {
    RouteQuery {
        pool: POOL,
        lora: None,
        prompt: None,
        time_left: Millis(5_000),
        tried,
    }
}

fn home(router: &Router, part: u32, tried: &[UpstreamIx]) -> Option<UpstreamIx> {
    let key = part_key(&"booking".into(), part);
    let selected = router.choose_by_rank(&query(tried), key, Millis(0));
    selected.map(|p| p.up)
}

#[test]
fn entries_agree_and_a_change_moves_few_parts() {
    let vms: Vec<u32> = (0..8).collect();
    let mut reversed = vms.clone();
    reversed.reverse();
    let (one, other, fewer) = (entry(&vms), entry(&reversed), entry(&vms[..7]));
    let mut counts = BTreeMap::new();
    let mut moved = 0;
    for part in 0..PARTS {
        let up = home(&one, part, &[]).unwrap();
        *counts.entry(up).or_insert(0) += 1;
        assert_eq!(home(&other, part, &[]), Some(UpstreamIx(7 - up.0)));
        let after = home(&fewer, part, &[]).unwrap();
        moved += u32::from(after != up);
        assert!(
            after == up || up == UpstreamIx(7),
            "part {part} moved although its home stayed"
        );
    }
    assert_eq!(moved, counts[&UpstreamIx(7)]);
    assert!(counts.values().all(|c| (12..=60).contains(c)), "{counts:?}");
}

struct Case {
    name: &'static str,
    /// Event at the part's first home.
    edit: fn(&mut Router, UpstreamIx),
    /// Whether the part moves on to its next home.
    moves_on: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing",
        edit: |_, _| {},
        moves_on: false,
    },
    Case {
        name: "leaving",
        edit: |r, up| r.mark_leaving(up),
        moves_on: true,
    },
    Case {
        name: "upstream down",
        edit: |r, up| {
            r.record_outcome(
                up,
                None,
                AttemptOutcome::Refused(Reason::UpstreamDown, None),
                Millis(0),
            );
        },
        moves_on: true,
    },
    Case {
        name: "failed",
        edit: |r, up| r.record_outcome(up, None, AttemptOutcome::Failed, Millis(0)),
        moves_on: true,
    },
    Case {
        name: "a wait of more than half of the time left",
        edit: |r, up| r.report(up, POOL, &figures(2_600), None, None, Millis(0)),
        moves_on: true,
    },
    Case {
        name: "a short wait",
        edit: |r, up| r.report(up, POOL, &figures(2_000), None, None, Millis(0)),
        moves_on: false,
    },
    Case {
        name: "forgotten",
        edit: |r, up| r.forget(up),
        moves_on: true,
    },
];

#[test]
fn a_home_that_is_not_ready_is_passed_over() {
    for case in CASES {
        for part in 0..16 {
            let mut router = entry(&[0, 1, 2]);
            let first = home(&router, part, &[]).unwrap();
            let next = home(&router, part, &[first]).unwrap();
            assert_ne!(first, next);
            (case.edit)(&mut router, first);
            let expected = if case.moves_on { next } else { first };
            assert_eq!(home(&router, part, &[]), Some(expected), "{}", case.name);
        }
    }
    let router = entry(&[0]);
    assert_eq!(home(&router, 0, &[UpstreamIx(0)]), None);
}
