//! All turns of a conversation go to one side, whichever entry receives them. The numbers of cached
//! tokens that responses report affect only the metric.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::caller::chat_with_body;
use crate::fixture::{Fixture, MODEL_POOL, StartedEntry, run_test};
use crate::script::Action::{CompletionWithCached, End, Head};
use crate::script::completion_script;
use crate::side::FakeSide;

/// Number of conversations in each test.
const CONVERSATIONS: usize = 24;

fn turn(conversation: usize, second: bool) -> Value {
    let mut messages = vec![
        json!({"role": "system", "content": "Be brief."}),
        json!({"role": "user", "content": format!("Question {conversation}")}),
    ];
    if second {
        messages.push(json!({"role": "assistant", "content": "Yes."}));
        messages.push(json!({"role": "user", "content": "And then?"}));
    }
    json!({"model": "tour@v1", "messages": messages})
}

/// Indices of the sides that received each conversation, with the first turns sent to one entry and
/// the second ones to the other.
async fn sides_by_conversation(
    fixture: &Fixture,
    entries: [&StartedEntry; 2],
    sides: &[FakeSide],
) -> Vec<BTreeSet<usize>> {
    let mut sides_by_conversation = vec![BTreeSet::new(); CONVERSATIONS];
    for (entry, second) in entries.into_iter().zip([false, true]) {
        for (conversation, used_sides) in sides_by_conversation.iter_mut().enumerate() {
            let before: Vec<usize> = sides.iter().map(|s| s.attempts().len()).collect();
            let response = fixture
                .caller(entry)
                .call(chat_with_body(&turn(conversation, second)))
                .await;
            assert_eq!(response.status, 200);
            let has_new_attempt =
                |(side, before): (&FakeSide, &usize)| side.attempts().len() > *before;
            let at = sides.iter().zip(&before).position(has_new_attempt);
            used_sides.insert(at.expect("a side"));
        }
    }
    sides_by_conversation
}

#[test]
fn routes_turns_of_a_conversation_to_one_side_from_any_entry() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let first_entry = fixture.start_ready(&[]).await;
        let second_entry = fixture.start_ready(&[]).await;
        let sides = fixture
            .start_sides(&first_entry, MODEL_POOL, 3, &[completion_script("Yes.")])
            .await;
        for side in &sides {
            let peers = second_entry.entry.addresses().peers;
            side.start_reporting(&fixture.client, peers, MODEL_POOL)
                .await;
        }
        let sides_by_conversation =
            sides_by_conversation(&fixture, [&first_entry, &second_entry], &sides).await;
        assert!(
            sides_by_conversation.iter().all(|at| at.len() == 1),
            "{sides_by_conversation:?}"
        );
        let used: BTreeSet<usize> = sides_by_conversation.into_iter().flatten().collect();
        assert_eq!(used.len(), sides.len(), "all sides get conversations");
    });
}

/// Engines that report too many, too few, malformed or no cached tokens.
#[test]
fn reported_cached_tokens_are_only_counted() {
    let completion = |cached| vec![Head, CompletionWithCached("Yes.", cached), End];
    let rows = [
        ("valid", completion("16"), 16),
        ("more than the prompt", completion("999999"), 20),
        ("negative", completion("-7"), 0),
        ("not a number", completion("\"16\""), 0),
        ("null", completion("null"), 0),
        ("not reported", completion_script("Yes."), 0),
    ];
    for (name, script, cached) in rows {
        run_test(|| async {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            let sides = fixture
                .start_sides(&started, MODEL_POOL, 3, &[script])
                .await;
            let sides_by_conversation =
                sides_by_conversation(&fixture, [&started, &started], &sides).await;
            assert!(
                sides_by_conversation.iter().all(|at| at.len() == 1),
                "{name}: {sides_by_conversation:?}"
            );
            let metrics = fixture.get_admin(&started, "/metrics").await;
            let cached = cached * 2 * CONVERSATIONS;
            let line = format!("entry_prompt_cached_tokens_total {cached}\n");
            assert!(metrics.contains(&line), "{name}: {metrics}");
        });
    }
}
