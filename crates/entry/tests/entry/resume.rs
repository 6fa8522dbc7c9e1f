//! Streams: complete, resumed at another side without lost or repeated text, or ended by an error.

use std::time::Duration;

use pumicecleat_types::{Ran, Reason};
use serde_json::{Value, json};

use crate::caller::{ReceivedResponse, chat_with_body};
use crate::fixture::{Fixture, MODEL_POOL, run_test};
use crate::script::Action::{
    self, Disconnect, Done, End, Finish, Hang, Head, Refuse, Role, Text, Usage,
};
use crate::script::{completion_script, stream_script};

#[test]
fn forwards_complete_responses() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let scripts = [stream_script(&["Jó", " ég"]), completion_script("Jó ég")];
        let sides = fixture.start_sides(&started, MODEL_POOL, 1, &scripts).await;
        let caller = fixture.caller(&started);

        let response = caller.chat(true).await;
        check_complete_stream(&response, "Jó ég");
        assert_eq!(response.header("x-adapter"), Some("tour"));
        assert_eq!(response.header("x-version"), Some("v1"));
        assert_eq!(response.header("x-attempts"), Some("1"));

        let response = caller.chat(false).await;
        assert_eq!((response.status, response.complete), (200, true));
        assert_eq!(response.text(), "Jó ég");
        let length = response.body.len().to_string();
        assert_eq!(response.header("content-length"), Some(length.as_str()));
        let seen = sides[0].attempts();
        let request = seen[1].head.request.as_str();
        assert_eq!(response.header("x-request-id"), Some(request));
        assert_eq!(sides[0].attempt_body(1)["model"], json!("tour@v1"));
        assert_eq!(sides[0].closed_early(), 0);
    });
}

/// How a first attempt ends after its text "Jó", and the scripts of the attempts after it.
struct Interruption {
    name: &'static str,
    end: Vec<Action>,
    /// Text that the last attempt must continue.
    text_so_far: &'static str,
    next_scripts: Vec<Vec<Action>>,
}

fn interruptions() -> Vec<Interruption> {
    let rest = stream_script(&[" ég", "!"]);
    let refused = vec![Refuse(Reason::Overloaded)];
    let tail = [Text("!"), Finish, Done, End];
    let role_with_text = [Head, Action::RoleText(" ég")].into_iter().chain(tail);
    let role_with_text = role_with_text.collect();
    let row = |name, end, next_scripts| Interruption {
        name,
        end,
        text_so_far: "Jó",
        next_scripts,
    };
    vec![
        row("cut", vec![Disconnect], vec![rest.clone()]),
        row("broken", vec![Action::Broken(Ran::Yes)], vec![rest.clone()]),
        row("ends without End", vec![], vec![rest.clone()]),
        row("End without [DONE]", vec![End], vec![rest.clone()]),
        row("stalled", vec![Hang], vec![rest.clone()]),
        row(
            "of another model",
            vec![Action::OtherModelText("X"), Hang],
            vec![rest.clone()],
        ),
        row(
            "of another request",
            vec![Action::OtherRequestText("X"), Hang],
            vec![rest.clone()],
        ),
        row(
            "not JSON",
            vec![Action::Bytes("data: {\n\n"), Hang],
            vec![rest.clone()],
        ),
        row("role with text", vec![Disconnect], vec![role_with_text]),
        row("refused once more", vec![Disconnect], vec![refused, rest]),
        Interruption {
            text_so_far: "Jó ég",
            ..row(
                "broken twice",
                vec![Disconnect],
                vec![
                    vec![Head, Role, Text(" ég"), Disconnect],
                    stream_script(&["!"]),
                ],
            )
        },
    ]
}

#[test]
fn goes_on_without_loss_or_doubling() {
    run_test(|| async {
        for row in interruptions() {
            let name = row.name;
            let mut first = vec![Head, Role, Text("Jó")];
            first.extend(row.end);
            let mut scripts = vec![first];
            scripts.extend(row.next_scripts);
            let count = scripts.len();
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&["--stall", "300ms"]).await;
            let sides = fixture
                .start_sides(&started, MODEL_POOL, count, &scripts)
                .await;

            let response = fixture.caller(&started).chat(true).await;
            assert_eq!(response.text(), "Jó ég!", "{name}");
            check_complete_stream(&response, "Jó ég!");
            let attempts: usize = sides.iter().map(|s| s.attempts().len()).sum();
            assert_eq!(attempts, count, "{name}");
            let resumed = sides.iter().flat_map(crate::side::FakeSide::attempts);
            let resumed = resumed.max_by_key(|r| r.head.attempt).unwrap();
            let body: Value = serde_json::from_slice(&resumed.body).unwrap();
            assert_eq!(body["continue_final_message"], json!(true), "{name}");
            let last = body["messages"].as_array().and_then(|m| m.last());
            let text_so_far = json!({"role": "assistant", "content": row.text_so_far});
            assert_eq!(last, Some(&text_so_far), "{name}");
        }
    });
}

#[test]
fn reports_the_usage_of_all_attempts_together() {
    run_test(|| async {
        let fixture = Fixture::new().await;
        let started = fixture.start_ready(&[]).await;
        let scripts = [
            vec![Head, Role, Text("Jó"), Text(" ég"), Disconnect],
            vec![Head, Role, Text("!"), Finish, Usage(12, 1), Done, End],
        ];
        fixture.start_sides(&started, MODEL_POOL, 2, &scripts).await;
        let response = fixture.caller(&started).chat(true).await;
        check_complete_stream(&response, "Jó ég!");
        let chunks = response.chunks();
        let usage = &chunks.last().unwrap()["usage"];
        let counts = json!({"prompt_tokens": 10, "completion_tokens": 3, "total_tokens": 13});
        assert_eq!(*usage, counts);
    });
}

/// A stream that cannot be resumed ends with an error event, and its body without the last chunk.
#[test]
fn reports_an_error_when_a_stream_cannot_be_resumed() {
    let plain = json!({
        "model": "tour@v1", "stream": true,
        "messages": [{"role": "user", "content": "Tonight?"}],
    });
    let mut seeded = plain.clone();
    seeded["seed"] = json!(7);
    let interrupted = vec![Head, Role, Text("Jó"), Disconnect];
    let finished = vec![Head, Role, Text("Jó"), Finish, Disconnect];
    let finished_without_end = vec![Head, Role, Text("Jó"), Finish, Done, Disconnect];
    let refused = vec![Refuse(Reason::BadRequest)];
    let rows = [
        (
            "can't be resumed",
            &seeded,
            2,
            vec![interrupted.clone(), stream_script(&["!"])],
        ),
        (
            "no other side",
            &plain,
            1,
            vec![interrupted.clone(), stream_script(&["!"])],
        ),
        (
            "after its finish",
            &plain,
            2,
            vec![finished, stream_script(&["!"])],
        ),
        (
            "after [DONE], no End",
            &plain,
            2,
            vec![finished_without_end, stream_script(&["!"])],
        ),
        ("refused for good", &plain, 2, vec![interrupted, refused]),
    ];
    run_test(|| async {
        for (name, body, sides, scripts) in rows {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            fixture
                .start_sides(&started, MODEL_POOL, sides, &scripts)
                .await;
            let response = fixture.caller(&started).call(chat_with_body(body)).await;
            assert!(!response.complete, "{name}: closed without its last chunk");
            assert!(!response.events().contains(&"[DONE]".to_owned()), "{name}");
            assert_eq!(response.text(), "Jó", "{name}");
            let chunks = response.chunks();
            let error = &chunks.last().unwrap()["error"];
            assert_eq!(error["code"], json!("stream_broken"), "{name}");
            assert_eq!(error["ran"], json!("yes"), "{name}");
        }
    });
}

/// An attempt is cancelled when its caller disconnects.
#[test]
fn cancels_the_attempt_when_the_caller_disconnects() {
    let rows = [
        ("before the response", true, vec![Hang]),
        (
            "within the stream",
            true,
            vec![Head, Role, Text("Jó"), Hang],
        ),
        ("within the buffered response", false, vec![Head, Hang]),
    ];
    run_test(|| async {
        for (name, stream, script) in rows {
            let fixture = Fixture::new().await;
            let started = fixture.start_ready(&[]).await;
            let sides = fixture
                .start_sides(&started, MODEL_POOL, 1, &[script])
                .await;
            let caller = fixture.caller(&started);
            let call = caller.call(crate::caller::chat(stream));
            let result = fixture.timer.within(Duration::from_millis(200), call).await;
            assert!(result.is_err(), "{name}");
            fixture.wait_until(|| sides[0].closed_early() == 1).await;
        }
    });
}

/// Checks that a stream is complete, with one id, creation time, model, role and finish reason.
fn check_complete_stream(response: &ReceivedResponse, text: &str) {
    assert!(response.complete);
    assert_eq!(response.status, 200);
    assert_eq!(response.text(), text);
    assert_eq!(response.events().last().unwrap(), "[DONE]");
    let chunks = response.chunks();
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
