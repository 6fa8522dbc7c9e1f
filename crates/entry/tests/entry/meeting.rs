//! Turns of a conversation meet at one side, whatever entry they come to; answers' words on their
//! caches change nothing but the count.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::caller::chat_of;
use crate::script::Act::{Cached, End, Head};
use crate::script::whole;
use crate::side::FakeSide;
use crate::world::{POOL, Started, World, case};

/// Conversations of each case.
const TALKS: usize = 24;

fn turn(talk: usize, second: bool) -> Value {
    let mut messages = vec![
        json!({"role": "system", "content": "Be brief."}),
        json!({"role": "user", "content": format!("Question {talk}")}),
    ];
    if second {
        messages.push(json!({"role": "assistant", "content": "Yes."}));
        messages.push(json!({"role": "user", "content": "And then?"}));
    }
    json!({"model": "tour@v1", "messages": messages})
}

/// Sides that got each conversation, the first turns at one entry and the second ones at another.
async fn places(world: &World, entries: [&Started; 2], sides: &[FakeSide]) -> Vec<BTreeSet<usize>> {
    let mut places = vec![BTreeSet::new(); TALKS];
    for (entry, second) in entries.into_iter().zip([false, true]) {
        for (talk, places) in places.iter_mut().enumerate() {
            let before: Vec<usize> = sides.iter().map(|s| s.seen().len()).collect();
            let told = world.caller(entry).ask(chat_of(&turn(talk, second))).await;
            assert_eq!(told.status, 200);
            let got = |(side, before): (&FakeSide, &usize)| side.seen().len() > *before;
            let at = sides.iter().zip(&before).position(got);
            places.insert(at.expect("a side"));
        }
    }
    places
}

#[test]
fn turns_meet_at_one_side_whatever_entry_they_come_to() {
    case(|| async {
        let world = World::new().await;
        let one = world.start_ready(&[]).await;
        let other = world.start_ready(&[]).await;
        let sides = world.sides(&one, POOL, 3, &[whole("Yes.")]).await;
        for side in &sides {
            let peers = other.entry.addresses().peers;
            side.join(&world.client, peers, POOL).await;
        }
        let places = places(&world, [&one, &other], &sides).await;
        assert!(places.iter().all(|at| at.len() == 1), "{places:?}");
        let used: BTreeSet<usize> = places.into_iter().flatten().collect();
        assert_eq!(used.len(), sides.len(), "all sides get conversations");
    });
}

/// Engines that tell too much, too little, nonsense or nothing of their caches.
#[test]
fn what_answers_tell_of_caches_is_only_counted() {
    let told = |cached| vec![Head, Cached("Yes.", cached), End];
    let rows = [
        ("right", told("16"), 16),
        ("more than there was", told("999999"), 20),
        ("below nothing", told("-7"), 0),
        ("no number", told("\"16\""), 0),
        ("null", told("null"), 0),
        ("nothing", whole("Yes."), 0),
    ];
    for (name, script, cached) in rows {
        case(|| async {
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            let sides = world.sides(&started, POOL, 3, &[script]).await;
            let places = places(&world, [&started, &started], &sides).await;
            assert!(places.iter().all(|at| at.len() == 1), "{name}: {places:?}");
            let metrics = world.admin(&started, "/metrics").await;
            let cached = cached * 2 * TALKS;
            let line = format!("entry_prompt_cached_tokens_total {cached}\n");
            assert!(metrics.contains(&line), "{name}: {metrics}");
        });
    }
}
