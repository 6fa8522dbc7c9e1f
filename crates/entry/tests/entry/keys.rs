//! Calls with keys in parts: one side for a part, whichever entry they come through.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_ledger::Key;
use pumicecleat_types::Reason;

use crate::caller::{post, with};
use crate::script::Act::{End, Head, Refuse, Whole};
use crate::side::FakeSide;
use crate::world::{SERVICES, World, case, usual_config};

const PARTS: u32 = 16;
const KEYS: usize = 48;

fn config() -> String {
    let parts = format!("concurrency = 8\nparts = {PARTS}");
    usual_config().replace("concurrency = 8", &parts)
}

/// Sides that saw each part, by name.
fn seen(sides: &[FakeSide]) -> BTreeMap<u32, BTreeSet<usize>> {
    let mut seen: BTreeMap<u32, BTreeSet<usize>> = BTreeMap::new();
    for (n, side) in sides.iter().enumerate() {
        for run in side.seen() {
            let text = run.head.idempotency_key.unwrap();
            let key = Key::parse(&run.head.caller, &text).unwrap();
            seen.entry(key.part(PARTS)).or_default().insert(n);
        }
    }
    seen
}

#[test]
fn calls_of_a_part_meet_at_one_side() {
    case(|| async {
        let mut world = World::bare();
        world.apply(&config()).await;
        let one = world.start_ready(&[]).await;
        let other = world.start_ready(&[]).await;
        let script = vec![Head, Whole("held"), End];
        let sides = world.sides(&one, SERVICES, 3, &[script]).await;
        for side in &sides {
            let peers = other.entry.addresses().peers;
            side.join(&world.client, peers, SERVICES).await;
        }
        let callers = [world.caller(&one), world.caller(&other)];
        for n in 0..KEYS {
            let key = format!("key-{n}");
            for caller in &callers {
                let call = with(post("/seats/hold", "seat 4"), "idempotency-key", &key);
                assert_eq!(caller.ask(call).await.status, 200);
            }
        }
        let seen = seen(&sides);
        assert!(seen.values().all(|s| s.len() == 1), "{seen:?}");
        let used: BTreeSet<&usize> = seen.values().flatten().collect();
        assert_eq!(used.len(), 3, "{seen:?}");
    });
}

#[test]
fn a_refusal_leads_to_the_next_side_and_back() {
    case(|| async {
        let mut world = World::bare();
        world.apply(&config()).await;
        let one = world.start_ready(&[]).await;
        let whole = vec![Head, Whole("held"), End];
        let scripts = [whole.clone(), vec![Refuse(Reason::Overloaded)], whole];
        let sides = world.sides(&one, SERVICES, 3, &scripts).await;
        let caller = world.caller(&one);
        let counts = || sides.iter().map(|s| s.seen().len()).collect::<Vec<_>>();
        let mut before = counts();
        let mut steps = Vec::new();
        for _ in 0..3 {
            let call = with(post("/seats/hold", "seat 4"), "idempotency-key", "k");
            assert_eq!(caller.ask(call).await.status, 200);
            let after = counts();
            let grown = (0..3).filter(|n| after[*n] > before[*n]);
            steps.push(grown.collect::<BTreeSet<usize>>());
            before = after;
        }
        assert_eq!(steps[0].len(), 1);
        assert_eq!(steps[1].len(), 2, "{steps:?}");
        assert!(steps[1].is_superset(&steps[0]), "{steps:?}");
        assert_eq!(steps[2], steps[0]);
    });
}
