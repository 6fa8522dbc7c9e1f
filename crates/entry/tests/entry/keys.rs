//! Calls to a service whose keys are split into parts: one side gets all calls of a part, whichever
//! entry receives them.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_ledger::Key;
use pumicecleat_types::Reason;

use crate::caller::{post, with_header};
use crate::fixture::{Fixture, SERVICE_POOL, default_config, run_test};
use crate::script::Action::{Completion, End, Head, Refuse};
use crate::side::FakeSide;

const PARTS: u32 = 16;
const KEY_COUNT: usize = 48;

fn config() -> String {
    let parts = format!("concurrency = 8\nparts = {PARTS}");
    default_config().replace("concurrency = 8", &parts)
}

/// Indices of the sides that received calls of each part.
fn sides_by_part(sides: &[FakeSide]) -> BTreeMap<u32, BTreeSet<usize>> {
    let mut sides_by_part: BTreeMap<u32, BTreeSet<usize>> = BTreeMap::new();
    for (n, side) in sides.iter().enumerate() {
        for run in side.attempts() {
            let text = run.head.idempotency_key.unwrap();
            let key = Key::parse(&run.head.caller, &text).unwrap();
            sides_by_part
                .entry(key.partition(PARTS))
                .or_default()
                .insert(n);
        }
    }
    sides_by_part
}

#[test]
fn routes_all_calls_of_a_part_to_one_side() {
    run_test(|| async {
        let mut fixture = Fixture::with_empty_log();
        fixture.apply_config(&config()).await;
        let first_entry = fixture.start_ready(&[]).await;
        let second_entry = fixture.start_ready(&[]).await;
        let script = vec![Head, Completion("held"), End];
        let sides = fixture
            .start_sides(&first_entry, SERVICE_POOL, 3, &[script])
            .await;
        for side in &sides {
            let peers = second_entry.entry.addresses().peers;
            side.start_reporting(&fixture.client, peers, SERVICE_POOL)
                .await;
        }
        let callers = [fixture.caller(&first_entry), fixture.caller(&second_entry)];
        for n in 0..KEY_COUNT {
            let key = format!("key-{n}");
            for caller in &callers {
                let call = with_header(post("/seats/hold", "seat 4"), "idempotency-key", &key);
                assert_eq!(caller.call(call).await.status, 200);
            }
        }
        let sides_by_part = sides_by_part(&sides);
        assert!(
            sides_by_part.values().all(|s| s.len() == 1),
            "{sides_by_part:?}"
        );
        let used: BTreeSet<&usize> = sides_by_part.values().flatten().collect();
        assert_eq!(used.len(), 3, "{sides_by_part:?}");
    });
}

#[test]
fn a_refused_call_goes_to_the_next_side_and_later_ones_return() {
    run_test(|| async {
        let mut fixture = Fixture::with_empty_log();
        fixture.apply_config(&config()).await;
        let first_entry = fixture.start_ready(&[]).await;
        let response = vec![Head, Completion("held"), End];
        let scripts = [response.clone(), vec![Refuse(Reason::Overloaded)], response];
        let sides = fixture
            .start_sides(&first_entry, SERVICE_POOL, 3, &scripts)
            .await;
        let caller = fixture.caller(&first_entry);
        let counts = || sides.iter().map(|s| s.attempts().len()).collect::<Vec<_>>();
        let mut before = counts();
        let mut sides_by_call = Vec::new();
        for _ in 0..3 {
            let call = with_header(post("/seats/hold", "seat 4"), "idempotency-key", "k");
            assert_eq!(caller.call(call).await.status, 200);
            let after = counts();
            let with_new_attempt = (0..3).filter(|n| after[*n] > before[*n]);
            sides_by_call.push(with_new_attempt.collect::<BTreeSet<usize>>());
            before = after;
        }
        assert_eq!(sides_by_call[0].len(), 1);
        assert_eq!(sides_by_call[1].len(), 2, "{sides_by_call:?}");
        assert!(
            sides_by_call[1].is_superset(&sides_by_call[0]),
            "{sides_by_call:?}"
        );
        assert_eq!(sides_by_call[2], sides_by_call[0]);
    });
}
