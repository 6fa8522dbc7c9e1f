//! Streams: whole, gone on with at another side without loss or doubling, or visibly broken.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};
use serde_json::{Value, json};

use crate::caller::{Told, chat_of};
use crate::script::Act::{self, Cut, Done, End, Finish, Hang, Head, Refuse, Role, Text, Usage};
use crate::script::{stream, whole};
use crate::world::{POOL, World, case};

#[test]
fn answers_whole() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let scripts = [stream(&["Jó", " ég"]), whole("Jó ég")];
        let sides = world.sides(&started, POOL, 1, &scripts).await;
        let caller = world.caller(&started);

        let told = caller.chat(true).await;
        check_whole_stream(&told, "Jó ég");
        assert_eq!(told.header("x-adapter"), Some("tour"));
        assert_eq!(told.header("x-version"), Some("v1"));
        assert_eq!(told.header("x-attempts"), Some("1"));

        let told = caller.chat(false).await;
        assert_eq!((told.status, told.whole), (200, true));
        assert_eq!(told.text(), "Jó ég");
        let length = told.body.len().to_string();
        assert_eq!(told.header("content-length"), Some(length.as_str()));
        let seen = sides[0].seen();
        let request = seen[1].head.request.as_str();
        assert_eq!(told.header("x-request-id"), Some(request));
        assert_eq!(sides[0].body(1)["model"], json!("tour@v1"));
        assert_eq!(sides[0].dropped(), 0);
    });
}

/// How a first attempt ends after its text "Jó", and how many attempts follow.
struct Break {
    name: &'static str,
    end: Vec<Act>,
    /// Text that the last attempt must go on from.
    so_far: &'static str,
    then: Vec<Vec<Act>>,
}

fn breaks() -> Vec<Break> {
    let rest = stream(&[" ég", "!"]);
    let refused = vec![Refuse(Reason::Overloaded)];
    let tail = [Text("!"), Finish, Done, End];
    let role_with_text = [Head, Act::RoleText(" ég")].into_iter().chain(tail);
    let role_with_text = role_with_text.collect();
    let row = |name, end, then| Break {
        name,
        end,
        so_far: "Jó",
        then,
    };
    vec![
        row("cut", vec![Cut], vec![rest.clone()]),
        row("broken", vec![Act::Broken(Ran::Yes)], vec![rest.clone()]),
        row("ends without End", vec![], vec![rest.clone()]),
        row("End without [DONE]", vec![End], vec![rest.clone()]),
        row("stalled", vec![Hang], vec![rest.clone()]),
        row(
            "of another model",
            vec![Act::FalseText("X"), Hang],
            vec![rest.clone()],
        ),
        row(
            "of another request",
            vec![Act::CrossedText("X"), Hang],
            vec![rest.clone()],
        ),
        row(
            "not JSON",
            vec![Act::Bytes("data: {\n\n"), Hang],
            vec![rest.clone()],
        ),
        row("role with text", vec![Cut], vec![role_with_text]),
        row("refused once more", vec![Cut], vec![refused, rest]),
        Break {
            so_far: "Jó ég",
            ..row(
                "broken twice",
                vec![Cut],
                vec![vec![Head, Role, Text(" ég"), Cut], stream(&["!"])],
            )
        },
    ]
}

#[test]
fn goes_on_without_loss_or_doubling() {
    case(|| async {
        for row in breaks() {
            let name = row.name;
            let mut first = vec![Head, Role, Text("Jó")];
            first.extend(row.end);
            let mut scripts = vec![first];
            scripts.extend(row.then);
            let count = scripts.len();
            let world = World::new().await;
            let started = world.start_ready(&["--stall", "300ms"]).await;
            let sides = world.sides(&started, POOL, count, &scripts).await;

            let told = world.caller(&started).chat(true).await;
            assert_eq!(told.text(), "Jó ég!", "{name}");
            check_whole_stream(&told, "Jó ég!");
            let attempts: usize = sides.iter().map(|s| s.seen().len()).sum();
            assert_eq!(attempts, count, "{name}");
            let resumed = sides.iter().flat_map(crate::side::FakeSide::seen);
            let resumed = resumed.max_by_key(|r| r.head.attempt).unwrap();
            let body: Value = serde_json::from_slice(&resumed.body).unwrap();
            assert_eq!(body["continue_final_message"], json!(true), "{name}");
            let last = body["messages"].as_array().and_then(|m| m.last());
            let so_far = json!({"role": "assistant", "content": row.so_far});
            assert_eq!(last, Some(&so_far), "{name}");
        }
    });
}

#[test]
fn counts_tokens_together() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let scripts = [
            vec![Head, Role, Text("Jó"), Text(" ég"), Cut],
            vec![Head, Role, Text("!"), Finish, Usage(12, 1), Done, End],
        ];
        world.sides(&started, POOL, 2, &scripts).await;
        let told = world.caller(&started).chat(true).await;
        check_whole_stream(&told, "Jó ég!");
        let chunks = told.chunks();
        let usage = &chunks.last().unwrap()["usage"];
        let counts = json!({"prompt_tokens": 10, "completion_tokens": 3, "total_tokens": 13});
        assert_eq!(*usage, counts);
    });
}

/// Streams that can't be gone on with end visibly broken.
#[test]
fn breaks_visibly() {
    let plain = json!({
        "model": "tour@v1", "stream": true,
        "messages": [{"role": "user", "content": "Tonight?"}],
    });
    let mut seeded = plain.clone();
    seeded["seed"] = json!(7);
    let open = vec![Head, Role, Text("Jó"), Cut];
    let finished = vec![Head, Role, Text("Jó"), Finish, Cut];
    let undone = vec![Head, Role, Text("Jó"), Finish, Done, Cut];
    let refused = vec![Refuse(Reason::BadRequest)];
    let rows = [
        (
            "can't be resumed",
            &seeded,
            2,
            vec![open.clone(), stream(&["!"])],
        ),
        (
            "no other side",
            &plain,
            1,
            vec![open.clone(), stream(&["!"])],
        ),
        (
            "after its finish",
            &plain,
            2,
            vec![finished, stream(&["!"])],
        ),
        (
            "after [DONE], no End",
            &plain,
            2,
            vec![undone, stream(&["!"])],
        ),
        ("refused for good", &plain, 2, vec![open, refused]),
    ];
    case(|| async {
        for (name, body, sides, scripts) in rows {
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            world.sides(&started, POOL, sides, &scripts).await;
            let told = world.caller(&started).ask(chat_of(body)).await;
            assert!(!told.whole, "{name}: closed without its last chunk");
            assert!(!told.events().contains(&"[DONE]".to_owned()), "{name}");
            assert_eq!(told.text(), "Jó", "{name}");
            let chunks = told.chunks();
            let error = &chunks.last().unwrap()["error"];
            assert_eq!(error["code"], json!("stream_broken"), "{name}");
            assert_eq!(error["ran"], json!("yes"), "{name}");
        }
    });
}

/// A caller that goes away cancels its attempt.
#[test]
fn cancels_when_the_caller_goes() {
    let rows = [
        ("before the answer", true, vec![Hang]),
        (
            "within the stream",
            true,
            vec![Head, Role, Text("Jó"), Hang],
        ),
        ("within the whole answer", false, vec![Head, Hang]),
    ];
    case(|| async {
        for (name, stream, script) in rows {
            let world = World::new().await;
            let started = world.start_ready(&[]).await;
            let sides = world.sides(&started, POOL, 1, &[script]).await;
            let caller = world.caller(&started);
            let ask = caller.ask(crate::caller::chat(stream));
            let gone = world.timer.within(Duration::from_millis(200), ask).await;
            assert!(gone.is_err(), "{name}");
            world.until(|| sides[0].dropped() == 1).await;
        }
    });
}

/// One answer with one id, one creation time, one role, and its end.
fn check_whole_stream(told: &Told, text: &str) {
    assert!(told.whole);
    assert_eq!(told.status, 200);
    assert_eq!(told.text(), text);
    assert_eq!(told.events().last().unwrap(), "[DONE]");
    let chunks = told.chunks();
    let same = |name: &str| chunks.iter().all(|c| c[name] == chunks[0][name]);
    assert!(same("id") && same("created") && same("model"));
    let roles = chunks
        .iter()
        .filter(|c| !c["choices"][0]["delta"]["role"].is_null());
    assert_eq!(roles.count(), 1);
    let finishes = chunks
        .iter()
        .filter(|c| c["choices"][0]["finish_reason"] == json!("stop"));
    assert_eq!(finishes.count(), 1);
}
